#ifndef WIGEONSTAIR_LIBRARIES_BASE_EVENT_NUMBER_H_
#define WIGEONSTAIR_LIBRARIES_BASE_EVENT_NUMBER_H_

#include <span>
#include <string_view>

namespace wigeonstair::base {

// Every numbered log event. Numbers are stable and never reused; a retired
// event keeps its row. docs/events.md lists the same rows, which a test checks.
// Ranges: 1000 process, 1100 HTTP, 1200 routing, 1300 request records,
// 2000 consensus, 2100 cluster state, 2200 domain authority, 2300 membership,
// 3000 placement, 4000 settings and tools.
//
// Columns: constant, number, name, meaning.
#define WIGEONSTAIR_EVENTS(X)                                                \
  X(kProcessStarted, 1001, "process.started", "A process is ready.")         \
  X(kProcessStopping, 1002, "process.stopping",                              \
    "A process received SIGTERM or SIGINT and drains.")                      \
  X(kProcessStopped, 1003, "process.stopped", "A process has drained.")      \
  X(kProcessFailed, 1004, "process.failed",                                  \
    "A process cannot go on and exits with an error.")                       \
  X(kLogLinesDropped, 1005, "log.lines_dropped",                             \
    "The log could not be written fast enough, and lines were dropped.")     \
  /* HTTP */                                                                 \
  X(kHttpRejected, 1101, "http.rejected",                                    \
    "A request was malformed, oversized or not allowed.")                    \
  X(kCertificateReloaded, 1102, "http.certificate_reloaded",                 \
    "The certificate files were read again after SIGHUP.")                   \
  /* Routing */                                                              \
  X(kRouteChosen, 1201, "route.chosen",                                      \
    "An upstream was chosen for a request.")                                 \
  X(kRouteRefused, 1202, "route.refused",                                    \
    "A request was refused before it was sent.")                             \
  X(kRouteFinished, 1203, "route.finished",                                  \
    "A request ended with an outcome.")                                      \
  X(kRouteRetried, 1204, "route.retried",                                    \
    "An idempotent request is sent again.")                                  \
  X(kRouteHedged, 1205, "route.hedged",                                      \
    "A second copy of a slow idempotent request goes to another upstream.")  \
  X(kUpstreamAnnounced, 1210, "upstream.announced",                          \
    "An upstream announced itself.")                                         \
  X(kUpstreamLeft, 1211, "upstream.left",                                    \
    "An upstream left or stopped its heartbeats.")                           \
  X(kUpstreamRefusedCall, 1212, "upstream.call_refused",                     \
    "A call of an upstream was refused.")                                    \
  X(kShareChanged, 1220, "route.share_settled",                              \
    "The division of slots among the entry hosts of the domain settled.")    \
  /* Request records */                                                      \
  X(kRecordClaimed, 1301, "record.claimed",                                  \
    "A request key was claimed before the request is sent.")                 \
  X(kRecordReportLost, 1302, "record.report_lost",                           \
    "The result of a send could not be committed; resends get unknown.")     \
  /* Consensus */                                                            \
  X(kRoleChanged, 2001, "consensus.role_changed",                            \
    "A replica changed its role in a group.")                                \
  X(kFolderRead, 2002, "consensus.folder_read",                              \
    "A replica read its data folder; torn_bytes is a write that had not "    \
    "finished.")                                                             \
  X(kStorageFailed, 2003, "consensus.storage_failed",                        \
    "A write or fsync failed; the replica takes no part until the write "    \
    "succeeds.")                                                             \
  X(kGroupMembersChanged, 2004, "consensus.members_changed",                 \
    "The members of a group changed.")                                       \
  X(kSnapshotTaken, 2005, "consensus.snapshot_taken",                        \
    "A replica replaced the front of its log by a snapshot.")                \
  X(kSnapshotInstalled, 2006, "consensus.snapshot_installed",                \
    "A replica received a snapshot from the leader.")                        \
  X(kMemberChangeFailed, 2007, "consensus.member_change_failed",             \
    "A change of the members of a group failed; it is tried again.")         \
  X(kStorageRecovered, 2008, "consensus.storage_recovered",                  \
    "A write that had failed succeeded; the replica takes part again.")      \
  /* Cluster state */                                                        \
  X(kCommandApplied, 2101, "cluster.command_applied",                        \
    "A replicated command was applied.")                                     \
  X(kJobAssigned, 2102, "cluster.job_assigned",                              \
    "A queued job is given to a failure domain, taken back or refused.")     \
  /* Domain authority */                                                     \
  X(kAuthorityAcquired, 2201, "authority.acquired",                          \
    "This host became the placement authority of its failure domain.")       \
  X(kAuthorityLost, 2202, "authority.lost",                                  \
    "This host stopped being the placement authority.")                      \
  /* Membership */                                                           \
  X(kMemberStateChanged, 2301, "membership.state_changed",                   \
    "A host is seen as alive, suspect, dead or left.")                       \
  /* Placement */                                                            \
  X(kPlacementDecided, 3001, "placement.decided",                            \
    "A placement decision with its reason.")                                 \
  X(kWorkerRegistered, 3010, "worker.registered",                            \
    "A worker registered or registered again.")                              \
  /* Jobs of steps */                                                        \
  X(kJobAccepted, 3101, "job.accepted", "A job was accepted and is stored.") \
  X(kJobRefused, 3102, "job.refused", "A job was not accepted.")             \
  X(kJobCancelled, 3103, "job.cancelled", "A job was cancelled.")            \
  X(kRunDecided, 3110, "run.decided",                                        \
    "A task is started, stopped, returned or ended, with the reason.")       \
  X(kLeadershipTaken, 3120, "scheduler.leads",                               \
    "This scheduler decides what runs where.")                               \
  X(kLeadershipLost, 3121, "scheduler.follows",                              \
    "This scheduler no longer decides.")                                     \
  X(kLeaderLoad, 3122, "scheduler.load",                                     \
    "What the rounds of this leader took in the last second.")               \
  X(kWorkerReported, 3130, "worker.reported",                                \
    "A worker announced itself, changed or left.")                           \
  X(kWorkerRowsUnreadable, 3131, "worker.rows_unreadable",                   \
    "A worker listed tasks in a form that this version cannot read.")        \
  X(kConfigurationPut, 3140, "configuration.put",                            \
    "An operator's configuration was put or refused.")                       \
  X(kDomainServiceSet, 3141, "domain.service_set",                           \
    "A failure domain was taken out of service or back in.")                 \
  X(kConfigurationDoubtful, 3142, "configuration.doubtful",                  \
    "A configuration in force contradicts itself.")                          \
  X(kCallFinished, 3150, "call.finished", "A gateway answered a caller.")    \
  X(kDependencyChanged, 3151, "dependency.changed",                          \
    "The schedulers were lost or reached again.")                            \
  X(kCommandUnreadable, 3160, "command.unreadable",                          \
    "A committed command could not be read; all hosts skip it.")             \
  /* Settings and tools */                                                   \
  X(kSettingsLoaded, 4001, "settings.loaded",                                \
    "Settings were read and checked.")                                       \
  X(kStandinFaultSet, 4010, "standin.fault_set",                             \
    "A stand-in was told to show a fault.")                                  \
  X(kStandinRegistered, 4011, "standin.registered",                          \
    "A stand-in registered or announced itself.")                            \
  X(kStandinRefused, 4012, "standin.refused",                                \
    "No server took a stand-in's registration, announcement or report.")

enum class EventNumber : int {
#define WIGEONSTAIR_EVENT_ENUMERATOR(constant, number, name, meaning) \
  constant = (number),
  WIGEONSTAIR_EVENTS(WIGEONSTAIR_EVENT_ENUMERATOR)
#undef WIGEONSTAIR_EVENT_ENUMERATOR
};

struct EventDescription {
  EventNumber number;
  std::string_view name;
  std::string_view meaning;
};

// All events in the order of their numbers.
std::span<const EventDescription> EventDescriptions();

// The name, such as "route.chosen".
std::string_view EventName(EventNumber number);

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_EVENT_NUMBER_H_
