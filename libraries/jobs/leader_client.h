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
  // Message addresses to begin with.
  std::vector<std::string> seeds;
  // The message address of this process, which is never called; may be empty.
  std::string self;
  // For the answer to one call.
  base::Duration try_timeout = std::chrono::milliseconds(900);
  // A leader that answered within this time is trusted with the next call. It
  // spans two probes and is shorter than an election, so that few calls are
  // sent into a cut, where their outcome stays unknown.
  base::Duration leader_validity = std::chrono::milliseconds(500);
  // Between probes for a leader while calls wait for one.
  base::Duration probe_interval = std::chrono::milliseconds(100);
  // How long a call that was sent nowhere waits for a leader. Callers that are
  // told soon can still come back before their deadline.
  base::Duration unsent_timeout = std::chrono::milliseconds(500);
  // It waits at most this share of its time, so that a caller in haste can
  // still turn elsewhere.
  int unsent_timeout_divisor = 6;
};

// Whether a call without a final answer may have reached a scheduler.
enum class Delivery { kNothingSent, kMaybeSent };

struct LeaderCallResult {
  Reply reply;
  // Only with a reply of kUnavailable or kUnknown.
  Delivery delivery = Delivery::kNothingSent;
};

// Finds the scheduler that leads and passes calls to it. A call is sent only to
// a leader that answered a moment ago; until one is found, probes are sent in
// its place, so that a call that is given up can be refused truthfully.
// Thread-safe; callbacks run on a loop thread.
class LeaderClient {
 public:
  explicit LeaderClient(LeaderClientOptions options);

  void Send(const Call& call,
            base::Instant deadline,
            std::function<void(LeaderCallResult)> done);
  // Looks for the leader now, and keeps it trusted.
  void Probe();

  // Adds addresses to ask, such as those of changed settings.
  void AddSeeds(const std::vector<std::string>& seeds);
  // When a leader last answered.
  std::optional<base::Instant> last_answer() const;
  std::string leader() const;

 private:
  struct Pending {
    std::string body;
    base::Instant deadline;
    // When it ends if nothing was sent until then.
    base::Instant unsent_deadline;
    std::function<void(LeaderCallResult)> done;
    Delivery delivery = Delivery::kNothingSent;
  };
  using PendingPointer = std::shared_ptr<Pending>;

  // All on the loop.
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
  // Used on the loop only.
  std::list<PendingPointer> waiting_;
  bool probing_ = false;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_
