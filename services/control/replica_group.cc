#include "services/control/replica_group.h"

#include <utility>

namespace wigeonstair::control {

consensus::MemberList InitialMembers(
    const std::vector<cluster::HostConfiguration>& hosts,
    Learners learners) {
  consensus::MemberList members;
  for (const cluster::HostConfiguration& host : hosts) {
    const bool votes = host.storage == cluster::HostStorage::kDisk;
    if (!votes && learners == Learners::kNone)
      continue;
    members.push_back(
        {.host = host.id,
         .address = host.control_messages,
         .role = votes ? consensus::MemberRole::kVoter
                       : consensus::MemberRole::kLearner,
         .incarnation = votes ? consensus::kFirstIncarnation : 0});
  }
  return members;
}

std::vector<std::string> ReplicaHosts(
    const settings::ProcessSettings& settings) {
  std::vector<std::string> near;
  std::vector<std::string> far;
  for (const cluster::HostConfiguration& host : settings.hosts) {
    if (host.storage == cluster::HostStorage::kDisk)
      (host.domain == settings.domain ? near : far)
          .push_back(host.control_messages);
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

base::Result<std::unique_ptr<consensus::ReplicaRuntime>> StartReplica(
    const settings::ProcessSettings& settings,
    const ReplicaGroupOptions& options) {
  consensus::ReplicaRuntimeOptions runtime{
      .group = options.group,
      .host = settings.host,
      .initial_members = InitialMembers(settings.hosts, options.learners),
      .data_folder = settings.data_folder.empty()
                         ? std::string()
                         : settings.data_folder + "/" + options.group,
      .commit_record = options.commit_record,
      .state_machine = options.state_machine,
      .loop = options.loop,
      .channel =
          [channels = options.channels](const consensus::Member& member) {
            return channels->Open(member.address);
          },
      .event_log = options.event_log,
      .counters = options.counters,
      .check_command = options.check_command};
  return consensus::ReplicaRuntime::create(std::move(runtime));
}

}  // namespace wigeonstair::control
