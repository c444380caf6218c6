#include "services/control/control_process.h"

#include <fstream>
#include <future>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/messages.h"
#include "net/event_loop.h"
#include "net/message_server.h"
#include "net/peer_channels.h"
#include "records/codec.h"
#include "records/messages.h"
#include "services/control/assignment_controller.h"
#include "services/control/domain_controller.h"
#include "services/control/http_router.h"
#include "services/control/log_access.h"
#include "services/control/record_service.h"
#include "services/control/replica_group.h"
#include "services/control/report_limits.h"
#include "tools/service_listeners.h"

namespace wigeonstair::control {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kTransferTimeout = std::chrono::seconds(2);

// Message types; see net::MessageType for the owners of the ranges.
constexpr net::MessageType kConsensusFirst = 100;
constexpr net::MessageType kRecordsFirst = 200;
constexpr net::MessageType kClusterFirst = 300;
constexpr net::MessageType kMembershipFirst = 400;

base::Result<std::string> ReadToken(const std::string& path) {
  if (path.empty())
    return std::string();
  std::ifstream file(path);
  std::string token;
  if (!file || !std::getline(file, token) || token.empty()) {
    return base::Fail(base::ErrorCode::kInputOutput, "read operator token",
                      path, "the file cannot be read or is empty");
  }
  return token;
}

}  // namespace

// The order of the members is the order of their construction; each uses only
// earlier ones.
struct ControlProcess::Implementation {
  explicit Implementation(const settings::ProcessSettings& process_settings)
      : settings(process_settings), channels(loop, settings.cluster) {}

  base::Result<std::monostate> Open();
  base::Result<std::monostate> OpenGroups();
  base::Result<std::monostate> OpenMessages();
  base::Result<std::monostate> OpenDomain();
  void OpenControllers();
  void HandleMessage(net::MessageType type,
                     std::string body,
                     net::MessageReply reply);
  void HandleConsensus(net::MessageType type,
                       std::string body,
                       net::MessageReply reply);
  void HandleView(const std::string& body, const net::MessageReply& reply);
  void ChangeMembers(const net::HttpRequest& request,
                     net::HttpResponder respond);
  void Tick();
  void SetRecordLimits();
  void TransferLeadership();
  void StopTicking();
  void Close();

  const settings::ProcessSettings settings;
  std::shared_ptr<base::EventLog> log;
  base::CounterRegistry counters;
  net::EventLoop loop;
  std::optional<net::EventLoop::TimerId> tick;
  net::PeerChannels channels;
  std::unique_ptr<ReplicatedCluster> cluster;
  std::unique_ptr<ReplicatedRecords> records;
  std::unique_ptr<consensus::ReplicaRuntime> cluster_replica;
  std::unique_ptr<consensus::ReplicaRuntime> records_replica;
  bool led_records = false;
  std::unique_ptr<LogAccess> access;
  std::unique_ptr<RecordService> record_service;
  std::unique_ptr<DomainController> domain;
  std::unique_ptr<PlacementController> placement;
  std::unique_ptr<AssignmentController> assignment;
  std::unique_ptr<net::MessageServer> messages;
  std::unique_ptr<JobApi> jobs;
  std::unique_ptr<WorkerApi> workers;
  std::unique_ptr<OperatorApi> operators;
  std::unique_ptr<HttpRouter> router;
  std::unique_ptr<tools::ServiceListeners> http;
};

base::Result<std::monostate> ControlProcess::Implementation::Open() {
  log = TRY(base::EventLog::create({.process = "control",
                                    .host = settings.host.value(),
                                    .file = settings.log_file,
                                    .level = settings.log_level}));
  const std::string token = TRY(ReadToken(settings.operator_token_file));
  TRY(OpenGroups());
  TRY(OpenDomain());
  OpenControllers();
  router = std::make_unique<HttpRouter>(
      HttpRouterOptions{.jobs = jobs.get(),
                        .workers = workers.get(),
                        .operators = operators.get(),
                        .counters = &counters,
                        .event_log = log,
                        .operator_token = token});
  TRY(OpenMessages());
  http = TRY(tools::ServiceListeners::create(
      settings,
      [this](const net::HttpRequest& request, net::HttpResponder respond) {
        router->Handle(request, std::move(respond));
      },
      log));
  tick = loop.ScheduleEvery(kTickInterval, [this] { Tick(); });
  log->Info(base::EventNumber::kProcessStarted,
            {{"http", http->address().ToString()},
             {"domain", settings.domain.value()},
             {"cluster", settings.cluster}});
  return std::monostate{};
}

base::Result<std::monostate> ControlProcess::Implementation::OpenGroups() {
  cluster = std::make_unique<ReplicatedCluster>(log);
  records = std::make_unique<ReplicatedRecords>(records::RecordTableOptions{});
  cluster_replica = TRY(StartReplica(
      settings, {.group = kClusterGroup,
                 .learners = Learners::kDisklessHosts,
                 // A host that restarts while it is cut off
                 // must not act on an older configuration.
                 .commit_record = consensus::CommitRecord::kBeforeApply,
                 .state_machine = cluster.get(),
                 .loop = &loop,
                 .channels = &channels,
                 .event_log = log,
                 .counters = &counters}));
  if (settings.self().storage == cluster::HostStorage::kDisk) {
    records_replica =
        TRY(StartReplica(settings, {.group = kRecordsGroup,
                                    .state_machine = records.get(),
                                    .check_command = CheckRecordTime,
                                    .loop = &loop,
                                    .channels = &channels,
                                    .event_log = log,
                                    .counters = &counters}));
  }
  access = std::make_unique<LogAccess>(*cluster_replica, loop,
                                       settings.timeouts.commit);
  record_service = std::make_unique<RecordService>(
      RecordServiceOptions{.replica = records_replica.get(),
                           .records = records.get(),
                           .channels = &channels,
                           .replica_hosts = ReplicaHosts(settings),
                           .timeout = settings.timeouts.commit});
  return std::monostate{};
}

base::Result<std::monostate> ControlProcess::Implementation::OpenDomain() {
  domain =
      TRY(DomainController::create({.settings = &settings,
                                    .loop = &loop,
                                    .cluster = cluster.get(),
                                    .cluster_replica = cluster_replica.get(),
                                    .access = access.get(),
                                    .channels = &channels,
                                    .event_log = log,
                                    .counters = &counters}));
  return std::monostate{};
}

void ControlProcess::Implementation::OpenControllers() {
  placement = std::make_unique<PlacementController>(PlacementControllerOptions{
      .domain = settings.domain,
      .report_limits = ReportLimits(settings),
      // At most half of the requests in progress, so that others get in.
      .held_reports = static_cast<std::size_t>(
          settings.limits.http_requests_in_progress / 2),
      .cluster = cluster.get(),
      .event_log = log,
      .counters = &counters,
      .held_epoch =
          [this](base::Instant now) { return domain->HeldEpoch(now); },
      .start_permission =
          [this](base::Instant now) { return domain->PermitStart(now); },
      .applied_revisions = [this] { return domain->applied_revisions(); },
      .reachable_domains = [this] { return domain->ReachableDomains(); },
      .propose =
          [this](cluster::Command command, std::function<void(bool)> done) {
            access->Propose(
                std::move(command),
                [done = std::move(done)](const CommandOutcome& outcome) {
                  done(std::holds_alternative<cluster::CommandReply>(outcome));
                });
          },
      .read_barrier =
          [this](std::function<void(bool)> done) {
            access->ReadBarrier(
                [done = std::move(done)](
                    const std::variant<std::monostate, base::Error>& outcome) {
                  done(std::holds_alternative<std::monostate>(outcome));
                });
          }});
  assignment =
      std::make_unique<AssignmentController>(AssignmentControllerOptions{
          .access = access.get(),
          .cluster = cluster.get(),
          .event_log = log,
          .is_leader =
              [this] {
                return cluster_replica->status().role ==
                       consensus::Role::kLeader;
              },
          .reachable_domains = [this] { return domain->ReachableDomains(); },
          .stopped_domains = [this] { return domain->StoppedDomains(); },
          .observe_hosts = [this] { return domain->ObserveHosts(); }});
  const auto authority_of = [this](const base::DomainId& id) {
    return domain->AuthorityOf(id);
  };
  jobs = std::make_unique<JobApi>(*access, *cluster, *placement, authority_of);
  workers = std::make_unique<WorkerApi>(
      *placement,
      WorkerApiOptions{
          .domain = settings.domain,
          .report_interval = settings.timeouts.worker_report,
          .authority_address = [this] { return domain->AuthorityAddress(); },
          .saw_epoch =
              [this](std::int64_t epoch) { domain->SawEpoch(epoch); }});
  operators = std::make_unique<OperatorApi>(OperatorApiOptions{
      .access = access.get(),
      .cluster = cluster.get(),
      .placement = placement.get(),
      .loop = &loop,
      .missing =
          [this](std::uint64_t revision) { return domain->Missing(revision); },
      .add_status =
          [this](settings::Value& value) { domain->AddStatus(value); },
      .add_domain =
          [this](const base::DomainId& id, settings::Value& value) {
            domain->AddDomain(id, value);
          },
      .authority_of = authority_of,
      .domain = settings.domain,
      .take_out_locally =
          [this](const base::DomainId& id) { domain->TakeOutLocally(id); },
      .change_members =
          [this](const net::HttpRequest& request, net::HttpResponder respond) {
            ChangeMembers(request, std::move(respond));
          }});
}

base::Result<std::monostate> ControlProcess::Implementation::OpenMessages() {
  messages = TRY(net::MessageServer::create(
      loop, {.address = TRY(net::ParseAddress(settings.messages)),
             .cluster = settings.cluster,
             .handler =
                 [this](net::MessageType type, std::string body,
                        net::MessageReply reply) {
                   HandleMessage(type, std::move(body), std::move(reply));
                 },
             .frame_limit_bytes =
                 static_cast<std::size_t>(settings.limits.message_bytes)}));
  return std::monostate{};
}

void ControlProcess::Implementation::HandleMessage(net::MessageType type,
                                                   std::string body,
                                                   net::MessageReply reply) {
  if (type >= kMembershipFirst)
    return domain->HandleMessage(type, body, reply);
  if (type >= kClusterFirst)
    return HandleView(body, reply);
  if (type >= kRecordsFirst)
    return record_service->Handle(type, std::move(body), std::move(reply));
  if (type >= kConsensusFirst)
    HandleConsensus(type, std::move(body), std::move(reply));
}

void ControlProcess::Implementation::HandleConsensus(net::MessageType type,
                                                     std::string body,
                                                     net::MessageReply reply) {
  const auto group =
      base::Capture([&] { return consensus::ReplicaRuntime::GroupOf(body); });
  const auto* name = std::get_if<std::string>(&group);
  if (name == nullptr)
    return;
  if (*name == kClusterGroup) {
    cluster_replica->HandleMessage(type, std::move(body), std::move(reply));
  } else if (*name == kRecordsGroup && records_replica != nullptr) {
    records_replica->HandleMessage(type, std::move(body), std::move(reply));
  }
}

void ControlProcess::Implementation::HandleView(
    const std::string& body,
    const net::MessageReply& reply) {
  const auto request =
      base::Capture([&] { return cluster::DecodeViewRequest(body); });
  const auto* decoded = std::get_if<cluster::ViewRequest>(&request);
  if (decoded == nullptr)
    return;
  if (!domain->taken_out_locally())
    return reply(cluster::EncodeViewReply(cluster->AnswerView(*decoded)));
  // The log does not know of a local take-out, so it is added to a whole view.
  cluster::ViewReply view = cluster->AnswerView({.known_revision = 0});
  view.domains[settings.domain].status = cluster::DomainStatus::kOut;
  reply(cluster::EncodeViewReply(view));
}

void ControlProcess::Implementation::ChangeMembers(
    const net::HttpRequest& request,
    net::HttpResponder respond) {
  domain->ChangeMembers(request, records_replica.get(), std::move(respond));
}

// The bounds of the records travel through the log, because replicas with
// different bounds would diverge. Each new leader sets those of its settings.
void ControlProcess::Implementation::SetRecordLimits() {
  const bool leads = records_replica &&
                     records_replica->status().role == consensus::Role::kLeader;
  if (leads == std::exchange(led_records, leads) || !leads)
    return;
  const settings::Limits& limits = settings.limits;
  records_replica->Propose(
      records::Encode(records::SetLimits{
          .limits = {.retention_milliseconds =
                         settings.timeouts.record_retention /
                         std::chrono::milliseconds(1),
                     .maximum_records =
                         static_cast<std::uint64_t>(limits.request_records),
                     .maximum_answer_bytes =
                         static_cast<std::uint64_t>(limits.stored_answer_bytes),
                     .maximum_total_answer_bytes = static_cast<std::uint64_t>(
                         limits.stored_answers_total_bytes)},
          .time_milliseconds = base::WallClockNow().count()}),
      settings.timeouts.commit, [](const consensus::ProposeOutcome&) {
        // A leader that loses its role before the commit has a successor that
        // does the same.
      });
}

void ControlProcess::Implementation::Tick() {
  const base::Instant now = base::MonotonicClock::now();
  SetRecordLimits();
  domain->Tick(now);
  placement->Tick(now);
  domain->PublishCapacity(placement->capacity());
  assignment->Tick();
}

// Returns when both groups have been offered to another host, at the latest
// after the timeout. What was sent before has then left the loop.
void ControlProcess::Implementation::TransferLeadership() {
  std::vector<std::future<void>> transfers;
  const auto transfer = [&](consensus::ReplicaRuntime& replica) {
    const auto done = std::make_shared<std::promise<void>>();
    transfers.push_back(done->get_future());
    replica.TransferLeadership(kTransferTimeout, [this, done] {
      loop.Post([done] { done->set_value(); });
    });
  };
  transfer(*cluster_replica);
  if (records_replica)
    transfer(*records_replica);
  const auto deadline = std::chrono::steady_clock::now() + kTransferTimeout;
  for (const std::future<void>& done : transfers)
    done.wait_until(deadline);
}

void ControlProcess::Implementation::StopTicking() {
  if (!tick)
    return;
  loop.Cancel(*tick);
  // A tick that runs now still uses what is closed next. The loop has one
  // thread, so it has ended when a later callback runs.
  std::promise<void> passed;
  loop.Post([&] { passed.set_value(); });
  passed.get_future().wait();
}

void ControlProcess::Implementation::Close() {
  // Servers first, so that no request enters; then what answers through the
  // loop; then the loop, so that no timer reaches objects that are gone.
  if (placement)
    placement->StopHolding(base::MonotonicClock::now());
  http.reset();
  StopTicking();
  messages.reset();
  if (domain)
    domain->Stop();
  if (records_replica)
    records_replica->Stop();
  if (cluster_replica)
    cluster_replica->Stop();
  channels.Close();
  loop.Stop();
}

base::Result<std::unique_ptr<ControlProcess>> ControlProcess::create(
    const settings::ProcessSettings& settings) {
  auto implementation = std::make_unique<Implementation>(settings);
  Implementation& opening = *implementation;
  // From here on the destructor closes what was opened before a failure.
  std::unique_ptr<ControlProcess> process(
      new ControlProcess(std::move(implementation)));
  TRY(opening.Open());
  return process;
}

ControlProcess::ControlProcess(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

ControlProcess::~ControlProcess() {
  implementation_->Close();
}

void ControlProcess::ReloadCertificate() {
  implementation_->http->ReloadCertificate();
}

base::Result<std::monostate> ControlProcess::Drain() {
  Implementation& process = *implementation_;
  process.log->Info(base::EventNumber::kProcessStopping,
                    {{"in_progress", process.http->requests_in_progress()}});
  process.router->BeginDrain();
  process.placement->StopHolding(base::MonotonicClock::now());
  process.domain->Release();
  process.TransferLeadership();
  const bool idle = process.http->Drain(process.settings.timeouts.drain);
  if (idle)
    process.log->Info(base::EventNumber::kProcessStopped, {});
  process.log->Flush();
  if (!idle) {
    return base::Fail(base::ErrorCode::kTimeout, "drain", {},
                      "requests were still in progress");
  }
  return std::monostate{};
}

}  // namespace wigeonstair::control
