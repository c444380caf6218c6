#ifndef WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_
#define WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "consensus/replica_runtime.h"
#include "jobs/leader_client.h"
#include "net/event_loop.h"
#include "net/peer_channels.h"

namespace wigeonstair::scheduler {

// How long ago each member last answered.
using Silences = std::map<base::HostId, base::Duration>;

// The next change that repairs the group, if one is needed: a group keeps
// three voters, so that it survives the loss of one and a cut into halves. A
// voter that is silent for long is replaced by a learner that answers. Pure.
std::optional<consensus::MemberChange> NextRepair(
    const consensus::MemberList& members,
    const base::HostId& self,
    const Silences& silences);

struct MemberControllerOptions {
  // All outlive the controller.
  net::EventLoop* loop = nullptr;
  net::PeerChannels* channels = nullptr;
  jobs::LeaderClient* leader = nullptr;
  consensus::ReplicaRuntime* replica = nullptr;
  base::HostId self;
  // The message address of this host.
  std::string address;
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
  void Repair(const consensus::MemberList& members);

  const MemberControllerOptions options_;
  std::map<base::HostId, base::Instant> answered_;
  bool change_in_flight_ = false;
  bool join_in_flight_ = false;
};

}  // namespace wigeonstair::scheduler

#endif  // WIGEONSTAIR_SERVICES_SCHEDULER_MEMBER_CONTROLLER_H_
