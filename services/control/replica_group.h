#ifndef WIGEONSTAIR_SERVICES_CONTROL_REPLICA_GROUP_H_
#define WIGEONSTAIR_SERVICES_CONTROL_REPLICA_GROUP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/result.h"
#include "consensus/replica_runtime.h"
#include "net/peer_channels.h"
#include "settings/process_settings.h"

namespace wigeonstair::control {

inline constexpr char kClusterGroup[] = "cluster";
inline constexpr char kRecordsGroup[] = "records";

// Whether diskless hosts follow the group as learners.
enum class Learners { kNone, kDisklessHosts };

// The members of a new group: hosts with a disk vote.
consensus::MemberList InitialMembers(
    const std::vector<cluster::HostConfiguration>& hosts,
    Learners learners);

// Message addresses of the hosts with a disk: those of the own domain first.
std::vector<std::string> ReplicaHosts(
    const settings::ProcessSettings& settings);

struct ReplicaGroupOptions {
  std::string group;
  Learners learners = Learners::kNone;
  consensus::CommitRecord commit_record = consensus::CommitRecord::kNone;
  consensus::StateMachine* state_machine = nullptr;
  // As in consensus::ReplicaRuntimeOptions.
  std::function<std::optional<base::Error>(std::string_view)> check_command;
  net::EventLoop* loop = nullptr;
  net::PeerChannels* channels = nullptr;
  std::shared_ptr<base::EventLog> event_log;
  base::CounterRegistry* counters = nullptr;
};

// Starts this host's replica of a group.
base::Result<std::unique_ptr<consensus::ReplicaRuntime>> StartReplica(
    const settings::ProcessSettings& settings,
    const ReplicaGroupOptions& options);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_REPLICA_GROUP_H_
