#ifndef WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "jobs/api.h"
#include "net/event_loop.h"
#include "net/peer_channels.h"

namespace wigeonstair::jobs {

struct LeaderClientOptions {
  // Both outlive the client.
  net::EventLoop* loop = nullptr;
  net::PeerChannels* channels = nullptr;
  // Message addresses that are probed first.
  std::vector<std::string> seeds;
  // The message address of this process, which is never called. May be empty.
  std::string self;
  // Timeout of one attempt of a call.
  base::Duration try_timeout = std::chrono::milliseconds(900);
  // A call is sent only to a leader that answered within this time. Longer than
  // two probe intervals and shorter than an election, so that few calls are
  // sent into a network partition, where their outcome stays unknown.
  base::Duration leader_validity = std::chrono::milliseconds(500);
  // Interval of probes for a leader while calls wait for one.
  base::Duration probe_interval = std::chrono::milliseconds(100);
  // A call that has not been sent fails after this time without a leader, so
  // that its caller can retry before its own deadline.
  base::Duration unsent_timeout = std::chrono::milliseconds(500);
  // An unsent call also waits at most this fraction (1/n) of the time to its
  // deadline, so that a caller with a short deadline can still send its request
  // elsewhere.
  int unsent_timeout_divisor = 6;
};

// Whether a call without a final reply may have reached a scheduler.
enum class Delivery { kNothingSent, kMaybeSent };

struct LeaderCallResult {
  Reply reply;
  // Only with a reply of kUnavailable or kUnknown.
  Delivery delivery = Delivery::kNothingSent;
};

// Finds the leading scheduler and sends calls to it. A call is sent only to a
// leader that answered recently. Until one is found, probes are sent instead,
// so that a call that fails meanwhile is known to have had no effect.
// Thread-safe; callbacks run on an event loop thread.
class LeaderClient {
 public:
  explicit LeaderClient(LeaderClientOptions options);

  void Send(const Call& call,
            base::Instant deadline,
            std::function<void(LeaderCallResult)> done);
  // Probes for the leader now, which also extends the validity of the known
  // one.
  void Probe();

  // Adds addresses to probe, such as those of changed settings.
  void AddSeeds(const std::vector<std::string>& seeds);
  // The time of the last answer of a leader.
  std::optional<base::Instant> last_answer() const;
  std::string leader() const;

 private:
  struct Pending {
    std::string body;
    base::Instant deadline;
    // When the call fails if it has not been sent by then.
    base::Instant unsent_deadline;
    std::function<void(LeaderCallResult)> done;
    Delivery delivery = Delivery::kNothingSent;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  // These run on the event loop.
  void Try(const PendingPointer& pending);
  void Handle(const PendingPointer& pending,
              const std::string& address,
              const net::CallOutcome& outcome);
  void Wait(const PendingPointer& pending);
  void ProbeAll();
  void ProbeWhileWaiting();
  void Flush();
  static void Fail(const PendingPointer& pending);

  std::optional<std::string> RecentLeader() const;
  void UpdateLeader(const Envelope& envelope, const std::string& from);
  void DropLeader(const std::string& address);

  const LeaderClientOptions options_;
  mutable std::mutex mutex_;
  std::vector<std::string> addresses_;
  std::string leader_;
  std::optional<base::Instant> last_answer_;
  // Accessed only on the event loop.
  std::list<PendingPointer> waiting_;
  bool probing_ = false;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_
