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

// What the leader knows of another member from its ping answers.
struct MemberHealth {
  base::Duration since_last_answer{};
  // The member's failure domain; empty before its first answer.
  base::DomainId domain;
  // The member shuts down; its vote goes to another one.
  bool leaving = false;
};
using MemberHealthMap = std::map<base::HostId, MemberHealth>;

// Number of voters that a group needs to survive the simultaneous loss of
// `losses` hosts including their disks. The number is odd, so that one side of
// a network partition in two always holds a majority.
std::size_t RequiredVoters(std::size_t losses);

// Returns the next membership change that repairs the group, if one is needed.
// A voter that shuts down or has stopped answering is replaced by a learner
// that answers, and voters are spread over the failure domains, so that the
// loss of one domain takes few of them. Has no side effects.
std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const MemberHealthMap& member_health,
    std::size_t voters);

struct MemberControllerOptions {
  // The pointers must outlive the controller.
  net::EventLoop* loop = nullptr;
  net::PeerChannels* channels = nullptr;
  jobs::LeaderClient* leader = nullptr;
  consensus::ReplicaRuntime* replica = nullptr;
  std::shared_ptr<base::EventLog> log;
  base::HostId self;
  // The address at which this host receives messages.
  std::string address;
  base::DomainId domain;
  // Number of hosts that may be lost at the same time, including their disks.
  std::size_t tolerated_losses = 1;
};

// Asks to join the group while this host is not a member, and repairs the
// membership while it leads. Runs on the event-loop thread.
class MemberController {
 public:
  explicit MemberController(MemberControllerOptions options);

  void Start();

  // Gives the vote of `host`, which shuts down, to another member. Returns true
  // when the host has no vote left or no member can take it; to be called again
  // otherwise. Only while this host leads.
  bool ReleaseVote(const base::HostId& host);

 private:
  void Tick();
  void Join();
  void PingMembers(const consensus::MemberList& members);
  void RecordAnswer(const base::HostId& host, const net::CallOutcome& outcome);
  // Makes the next change of members, if this host leads and none is being
  // made.
  void Repair();
  std::optional<consensus::MemberChange> NextChange(
      const consensus::MemberList& members) const;

  const MemberControllerOptions options_;
  struct Answer {
    base::Instant at;
    base::DomainId domain;
  };
  std::map<base::HostId, Answer> answers_;
  struct LeaderContact {
    base::HostId host;
    base::Instant at;
  };
  // The leader that this host followed last, until this host leads and has
  // called it. A new leader knows by this how long the lost one is silent.
  std::optional<LeaderContact> last_leader_;
  // When the members that shut down last asked for the release of their votes.
  std::map<base::HostId, base::Instant> releases_;
  bool change_in_flight_ = false;
  bool join_in_flight_ = false;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_
