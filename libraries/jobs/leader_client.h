#ifndef WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_

#include <cstdint>
#include <functional>
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
  // For the answer of one scheduler.
  base::Duration try_timeout = std::chrono::milliseconds(900);
  // Before the schedulers are asked once more.
  base::Duration retry_delay = std::chrono::milliseconds(60);
};

// Whether a call without a final answer may have reached a scheduler.
enum class Reach { kNothingSent, kMaybeSent };

struct CallResultOfLeader {
  Reply reply;
  // Only with a reply of kUnavailable or kUnknown.
  Reach reach = Reach::kNothingSent;
};

// Finds the scheduler that leads and repeats calls until one is answered or
// the deadline has passed. Thread-safe; callbacks run on a loop thread.
class LeaderClient {
 public:
  explicit LeaderClient(LeaderClientOptions options);

  void Send(const Call& call,
            base::Instant deadline,
            std::function<void(CallResultOfLeader)> done);

  // Adds addresses to ask, such as those of changed settings.
  void AddSeeds(const std::vector<std::string>& seeds);
  // When a leader last answered.
  std::optional<base::Instant> last_answer() const;
  std::string leader() const;

 private:
  struct Pending {
    std::string body;
    base::Instant deadline;
    std::function<void(CallResultOfLeader)> done;
    Reach reach = Reach::kNothingSent;
    std::size_t tries = 0;
  };

  void Try(const std::shared_ptr<Pending>& pending);
  void Handle(const std::shared_ptr<Pending>& pending,
              const std::string& address,
              const net::CallOutcome& outcome);
  void TryLater(const std::shared_ptr<Pending>& pending);
  // The leader first, then the others in turn.
  std::string NextAddress(std::size_t tries);
  void Learn(const Envelope& envelope, const std::string& from);
  void Distrust(const std::string& address);

  const LeaderClientOptions options_;
  mutable std::mutex mutex_;
  std::vector<std::string> addresses_;
  std::string leader_;
  std::size_t next_ = 0;
  std::optional<base::Instant> last_answer_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_LEADER_CLIENT_H_
