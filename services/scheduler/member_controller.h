#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/event_log.h"
#include "consensus/replica_runtime.h"
#include "jobs/leader_client.h"
#include "net/event_loop.h"
#include "net/peer_channels.h"

namespace wigeonstair::scheduler {

// What a leader knows of another member from its answers.
struct MemberView {
  // Since the last answer.
  base::Duration silence{};
  // Empty before the first answer.
  base::DomainId domain;
};
using MemberViews = std::map<base::HostId, MemberView>;

// Voters that a group needs to survive the loss of `losses` hosts at once with
// their disks. The number is odd, so that a cut into halves leaves a majority.
std::size_t VotersFor(std::size_t losses);

// The next change that repairs the group, if one is needed: a voter that is
// silent for long is replaced by a learner that answers, and voters are spread
// over the failure domains, so that the loss of a domain takes few. Pure.
std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const MemberViews& views,
    std::size_t voters);

struct MemberControllerOptions {
  // All outlive the controller.
  net::EventLoop* loop = nullptr;
  net::PeerChannels* channels = nullptr;
  jobs::LeaderClient* leader = nullptr;
  consensus::ReplicaRuntime* replica = nullptr;
  std::shared_ptr<base::EventLog> log;
  base::HostId self;
  // The message address of this host.
  std::string address;
  base::DomainId domain;
  // Hosts that may be lost at once with their disks.
  std::size_t tolerated_losses = 1;
};

// Asks for a place in the group while this host has none, and repairs the
// group while it leads. Runs on the thread of the loop.
class MemberController {
 public:
  explicit MemberController(MemberControllerOptions options);

  void Start();

 private:
  void Tick();
  void Join();
  void Watch(const consensus::MemberList& members);
  void NoteAnswer(const base::HostId& host, const net::CallOutcome& outcome);
  void Repair(const consensus::MemberList& members);

  const MemberControllerOptions options_;
  struct Answer {
    base::Instant at;
    base::DomainId domain;
  };
  std::map<base::HostId, Answer> answers_;
  bool change_in_flight_ = false;
  bool join_in_flight_ = false;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_
