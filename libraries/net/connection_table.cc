#include "net/connection_table.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::net {

namespace {

using enum ConnectionPhase;

const std::vector<ConnectionPhase> kForConnections = {kClosing, kIdle,
                                                      kReceiving, kStalled};
const std::vector<ConnectionPhase> kForBytes = {kReceiving, kIdle, kStalled};

constexpr std::size_t kMaximumConnections = 65'536;
constexpr std::size_t kMinimumConnections = 64;
constexpr std::size_t kMinimumBytes = 16UL * 1024 * 1024;
constexpr std::size_t kMemoryParts = 8;

void Run(const std::vector<ConnectionTable::Drop>& dropped) {
  for (const ConnectionTable::Drop& drop : dropped)
    drop();
}

}  // namespace

ConnectionLimits DeriveConnectionLimits(std::size_t descriptors,
                                        std::size_t memory_bytes) {
  ConnectionLimits limits;
  if (descriptors > 0) {
    limits.connections = std::clamp(descriptors / 4 * 3, kMinimumConnections,
                                    kMaximumConnections);
  }
  limits.connections_per_peer = limits.connections;
  limits.bytes = std::max(memory_bytes / kMemoryParts, kMinimumBytes);
  return limits;
}

ConnectionTable::Handle ConnectionTable::Add(const std::string& peer,
                                             Drop drop) {
  std::vector<Drop> dropped;
  Handle added;
  {
    const std::lock_guard lock(mutex_);
    std::list<Entry>& idle = Of(kIdle);
    added = idle.insert(idle.end(), {.peer = peer, .drop = std::move(drop)});
    ++connections_;
    ++by_peer_[peer];
    const auto is_other = [&](const Entry& entry) { return &entry != &*added; };
    const auto is_other_of_peer = [&](const Entry& entry) {
      return &entry != &*added && entry.peer == peer;
    };
    bool room = true;
    if (by_peer_[peer] > limits_.connections_per_peer)
      room = DropOldest(kForConnections, is_other_of_peer, dropped);
    if (room && connections_ > limits_.connections)
      room = DropOldest(kForConnections, is_other, dropped);
    if (!room)
      MarkDropped(added, dropped);
  }
  Run(dropped);
  return added;
}

bool ConnectionTable::Change(Handle connection,
                             ConnectionPhase phase,
                             std::size_t bytes) {
  std::vector<Drop> dropped;
  bool kept = true;
  {
    const std::lock_guard lock(mutex_);
    if (connection->dropped)
      return false;
    bytes_ += bytes - connection->bytes;
    connection->bytes = bytes;
    if (connection->phase != phase) {
      std::list<Entry>& list = Of(phase);
      list.splice(list.end(), Of(connection->phase), connection);
      connection->phase = phase;
    }
    const auto occupies = [](const Entry& entry) { return entry.bytes > 0; };
    while (bytes_ > limits_.bytes && DropOldest(kForBytes, occupies, dropped)) {
    }
    if (bytes_ > limits_.bytes && phase == kAnswering) {
      // The caller refuses the request and frees its memory.
      bytes_ -= connection->bytes;
      connection->bytes = 0;
      kept = false;
    }
    kept = kept && !connection->dropped;
  }
  Run(dropped);
  return kept;
}

void ConnectionTable::Remove(Handle connection) {
  const std::lock_guard lock(mutex_);
  if (connection->dropped) {
    dropped_.erase(connection);
    return;
  }
  Forget(*connection);
  Of(connection->phase).erase(connection);
}

bool ConnectionTable::DropOldest(
    const Phases& order,
    const std::function<bool(const Entry&)>& counts,
    std::vector<Drop>& dropped) {
  for (const ConnectionPhase phase : order) {
    std::list<Entry>& list = Of(phase);
    for (Handle entry = list.begin(); entry != list.end(); ++entry) {
      if (!counts(*entry))
        continue;
      MarkDropped(entry, dropped);
      return true;
    }
  }
  return false;
}

void ConnectionTable::MarkDropped(Handle connection,
                                  std::vector<Drop>& dropped) {
  Forget(*connection);
  connection->dropped = true;
  dropped.push_back(std::move(connection->drop));
  dropped_.splice(dropped_.end(), Of(connection->phase), connection);
}

void ConnectionTable::Forget(const Entry& entry) {
  bytes_ -= entry.bytes;
  --connections_;
  const auto count = by_peer_.find(entry.peer);
  if (--count->second == 0)
    by_peer_.erase(count);
}

std::size_t ConnectionTable::connections() const {
  const std::lock_guard lock(mutex_);
  return connections_;
}

std::size_t ConnectionTable::bytes() const {
  const std::lock_guard lock(mutex_);
  return bytes_;
}

}  // namespace wigeonstair::net
