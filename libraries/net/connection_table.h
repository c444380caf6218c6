#ifndef WIGEONSTAIR_LIBRARIES_NET_CONNECTION_TABLE_H_
#define WIGEONSTAIR_LIBRARIES_NET_CONNECTION_TABLE_H_

#include <array>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wigeonstair::net {

struct ConnectionLimits {
  std::size_t connections = 2048;
  // From one IP address.
  std::size_t connections_per_peer = 2048;
  // Memory of requests that are received or answered, and of answers.
  std::size_t bytes = 64UL * 1024 * 1024;
};

// The limits for a process that may open so many descriptors (0: unknown) and
// use so much memory: three quarters of the descriptors, and an eighth of the
// memory but not less than four of the largest requests.
ConnectionLimits DeriveConnectionLimits(std::size_t descriptors,
                                        std::size_t memory_bytes);

enum class ConnectionPhase {
  // Nothing of a request has arrived.
  kIdle,
  // A part of a request has arrived.
  kReceiving,
  // A whole request is being answered.
  kAnswering,
  // An answer is being sent.
  kSending,
  // The peer has not taken its answer for some time.
  kStalled,
  // The answer was the last one; the peer may still send.
  kClosing,
};

// The connections of all HTTP servers of a process, and the memory that their
// requests occupy. Decides which connection is dropped when a limit is
// exceeded: one that closes anyway, else the one that has been idle longest,
// else the one whose request has been incomplete longest, else one whose peer
// does not take its answer. A whole request and its answer are never dropped
// before. For memory, incomplete requests go first. Reads no clock.
// Thread-safe.
//
// Load pattern: more connections than descriptors, and more incomplete requests
// than memory, between which ordinary callers connect and ask.
class ConnectionTable {
 private:
  struct Entry;

 public:
  using Handle = std::list<Entry>::iterator;
  // Closes the connection; runs at most once, without locks of the table, on
  // the thread that exceeded the limit. Must only post.
  using Drop = std::function<void()>;

  explicit ConnectionTable(const ConnectionLimits& limits) : limits_(limits) {}

  Handle Add(const std::string& peer, Drop drop);
  // Records that the connection enters or stays in a phase and occupies `bytes`
  // now. False when it has been dropped, or when the limit on bytes is exceeded
  // without it and it must not enter the phase.
  bool Change(Handle connection, ConnectionPhase phase, std::size_t bytes);
  void Remove(Handle connection);

  std::size_t connections() const;
  std::size_t bytes() const;

 private:
  static constexpr std::size_t kPhases = 6;
  using Phases = std::vector<ConnectionPhase>;

  struct Entry {
    std::string peer;
    Drop drop;
    ConnectionPhase phase = ConnectionPhase::kIdle;
    std::size_t bytes = 0;
    bool dropped = false;
  };

  std::list<Entry>& Of(ConnectionPhase phase) {
    return phases_[static_cast<std::size_t>(phase)];
  }
  // Drops the oldest connection that counts, of the first phase that has one.
  // False when there is none.
  bool DropOldest(const Phases& order,
                  const std::function<bool(const Entry&)>& counts,
                  std::vector<Drop>& dropped);
  void MarkDropped(Handle connection, std::vector<Drop>& dropped);
  void Forget(const Entry& entry);

  const ConnectionLimits limits_;
  mutable std::mutex mutex_;
  // Each in the order in which the connections entered the phase.
  std::array<std::list<Entry>, kPhases> phases_;
  // Those that will be removed by their owners.
  std::list<Entry> dropped_;
  std::map<std::string, std::size_t> by_peer_;
  std::size_t connections_ = 0;
  std::size_t bytes_ = 0;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_CONNECTION_TABLE_H_
