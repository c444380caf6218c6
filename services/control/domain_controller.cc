#include "services/control/domain_controller.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

#include "authority/messages.h"
#include "authority/service.h"
#include "authority/start_gate.h"
#include "authority/take_out_tracker.h"
#include "membership/message.h"
#include "membership/service.h"
#include "net/datagram_socket.h"
#include "services/control/json_views.h"
#include "services/control/member_api.h"
#include "services/control/member_list_follower.h"
#include "services/control/report_limits.h"

namespace wigeonstair::control {

namespace {

using settings::Value;

// Longer than a restart of a control process takes.
constexpr base::Duration kSuspendAfter = std::chrono::seconds(5);

// A host of the domain tells the others of a local take-out. No body.
constexpr net::MessageType kLocalTakeOutMessage = 450;

authority::Liveness LivenessOf(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return authority::Liveness::kAlive;
    case membership::MemberState::kSuspect:
      return authority::Liveness::kSuspect;
    case membership::MemberState::kDead:
    case membership::MemberState::kLeft:
      break;
  }
  return authority::Liveness::kDead;
}

std::string_view StateName(membership::MemberState state) {
  switch (state) {
    case membership::MemberState::kAlive:
      return "alive";
    case membership::MemberState::kSuspect:
      return "suspect";
    case membership::MemberState::kDead:
      return "dead";
    case membership::MemberState::kLeft:
      return "left";
  }
  return "dead";
}

bool HoldsAuthority(const membership::HostView& view) {
  return view.member.id.role == membership::HostRole::kControl &&
         view.member.state != membership::MemberState::kDead &&
         view.member.state != membership::MemberState::kLeft &&
         view.status.holding == membership::AuthorityHolding::kHeld;
}

// Other processes to join through: those of the own domain first.
std::vector<net::Address> Seeds(const settings::ProcessSettings& settings) {
  std::vector<net::Address> near;
  std::vector<net::Address> far;
  for (const cluster::HostConfiguration& host : settings.hosts) {
    for (const std::string& text :
         {host.control_messages, host.entry_messages}) {
      const auto address =
          base::Capture([&] { return net::ParseAddress(text); });
      if (text.empty() || text == settings.messages ||
          !std::holds_alternative<net::Address>(address))
        continue;
      (host.domain == settings.domain ? near : far)
          .push_back(std::get<net::Address>(address));
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

Value Number(std::uint64_t number) {
  return Value::Number(static_cast<std::int64_t>(number));
}

}  // namespace

struct DomainController::Implementation {
  DomainControllerOptions options;
  std::unique_ptr<net::DatagramSocket> socket;
  std::unique_ptr<membership::Service> membership;
  std::unique_ptr<authority::Service> authority;
  authority::TakeOutTracker tracker;
  base::Instant started{};

  mutable std::mutex mutex;
  authority::StartGate gate;
  authority::ObservationMap observed;
  authority::AppliedHistory applied_here;
  std::optional<base::Instant> last_log_contact;
  std::unique_ptr<MemberListFollower> members;

  base::Result<std::monostate> Open();
  base::Result<std::monostate> OpenMembership();
  void HandleDatagram(const net::Address& sender,
                      net::MessageType type,
                      const std::string& body);
  void TakeOutHere();
  void FollowLog(base::Instant now);
  // Whether this host has applied, since its start, all that the leader had
  // committed at a contact.
  bool CaughtUp() const;
  void FollowKnowledge(base::Instant now);
  std::vector<cluster::HostConfiguration> Hosts() const;
  std::string HttpAddressOf(const base::HostId& host) const;
};

base::Result<std::monostate> DomainController::Implementation::Open() {
  started = base::MonotonicClock::now();
  const settings::ProcessSettings& settings = *options.settings;
  socket = TRY(net::DatagramSocket::create(
      *options.loop,
      {.address = TRY(net::ParseAddress(settings.messages)),
       .cluster = settings.cluster,
       .handler = [this](const net::Address& sender, net::MessageType type,
                         const std::string& body) {
         HandleDatagram(sender, type, body);
       }}));
  TRY(OpenMembership());
  authority = TRY(authority::Service::create(
      {.loop = options.loop,
       .domain = settings.domain,
       .election = {.self = settings.host,
                    .lease = settings.timeouts.authority_lease,
                    .renewal_interval = settings.timeouts.authority_renewal},
       .send = [this](
                   const net::Address& peer, net::MessageType type,
                   const std::string& body) { socket->Send(peer, type, body); },
       .event_log = options.event_log}));
  members = std::make_unique<MemberListFollower>(
      MemberListFollowerOptions{.settings = &settings,
                                .cluster = options.cluster,
                                .access = options.access,
                                .authority = authority.get(),
                                .started = started});
  return std::monostate{};
}

base::Result<std::monostate>
DomainController::Implementation::OpenMembership() {
  const settings::ProcessSettings& settings = *options.settings;
  membership = TRY(membership::Service::create(
      *options.loop,
      {.table = {.self = {.host = settings.host,
                          .role = membership::HostRole::kControl},
                 .domain = settings.domain,
                 .messages = TRY(net::ParseAddress(settings.messages)),
                 .http = TRY(net::ParseAddress(settings.http)),
                 .initial_incarnation =
                     static_cast<std::uint64_t>(base::WallClockNow().count()),
                 .seed = std::hash<std::string>()(settings.host.value())},
       .cluster = settings.cluster,
       .seeds = Seeds(settings),
       .send = [this](
                   const net::Address& peer, net::MessageType type,
                   const std::string& body) { socket->Send(peer, type, body); },
       .log = options.event_log,
       .counters = options.counters}));
  return std::monostate{};
}

void DomainController::Implementation::HandleDatagram(
    const net::Address& sender,
    net::MessageType type,
    const std::string& body) {
  // A datagram may arrive while the services are still being opened.
  if (type == membership::kGossipMessageType && membership)
    membership->HandleDatagram(sender, body);
  if (type >= authority::kLeaseRequestMessage &&
      type <= authority::kLeaseReleaseMessage && authority)
    authority->Receive(sender, type, body);
}

void DomainController::Implementation::TakeOutHere() {
  const std::uint64_t revision =
      options.cluster->Read([this](const cluster::ClusterState& state) {
        return state.domain(options.settings->domain).revision;
      });
  std::lock_guard lock(mutex);
  gate.TakeOutLocally(revision);
}

std::vector<cluster::HostConfiguration>
DomainController::Implementation::Hosts() const {
  const auto hosts =
      options.cluster->Read([](const cluster::ClusterState& state) {
        return state.configuration().hosts;
      });
  // Before the first configuration the settings say who belongs together.
  return hosts.empty() ? options.settings->hosts : hosts;
}

std::string DomainController::Implementation::HttpAddressOf(
    const base::HostId& host) const {
  for (const cluster::HostConfiguration& candidate : Hosts()) {
    if (candidate.id == host)
      return candidate.control_http;
  }
  return {};
}

void DomainController::Implementation::FollowLog(base::Instant now) {
  const consensus::ReplicaStatus status = options.cluster_replica->status();
  const std::uint64_t domain_revision =
      options.cluster->Read([this](const cluster::ClusterState& state) {
        return state.domain(options.settings->domain).revision;
      });
  std::lock_guard lock(mutex);
  gate.ObserveRevision(domain_revision);
  applied_here.Note(options.cluster->revision(), now);
  // A contact counts only when everything committed was applied.
  if (status.since_leader_contact &&
      status.applied_index >= status.known_commit_index)
    last_log_contact = now - *status.since_leader_contact;
}

bool DomainController::Implementation::CaughtUp() const {
  std::lock_guard lock(mutex);
  return last_log_contact.has_value();
}

void DomainController::Implementation::FollowKnowledge(base::Instant now) {
  const auto snapshot = membership->snapshot();
  for (const membership::HostView& view : snapshot->hosts) {
    if (view.member.domain == options.settings->domain &&
        view.member.id.role == membership::HostRole::kControl)
      members->SawRevision(view.member.id.host, view.status.applied_revision);
  }
  std::lock_guard lock(mutex);
  for (const membership::HostView& view : snapshot->hosts) {
    const auto role = view.member.id.role == membership::HostRole::kControl
                          ? authority::ProcessRole::kControl
                          : authority::ProcessRole::kEntry;
    authority::ProcessObservation& known =
        observed[{view.member.id.host, role}];
    known.liveness = LivenessOf(view.member.state);
    if (known.liveness == authority::Liveness::kAlive)
      known.last_heard = now;
    known.holds_authority = HoldsAuthority(view);
    known.applied.Note(view.status.applied_revision, now);
  }
}

base::Result<std::unique_ptr<DomainController>> DomainController::create(
    DomainControllerOptions options) {
  auto implementation = std::make_unique<Implementation>();
  implementation->options = std::move(options);
  implementation->tracker = authority::TakeOutTracker(
      {.task_lease = authority::LongestTaskLease(
                         ReportLimits(*implementation->options.settings)) +
                     authority::kLastCheckpointTime});
  Implementation& opening = *implementation;
  std::unique_ptr<DomainController> controller(
      new DomainController(std::move(implementation)));
  TRY(opening.Open());
  return controller;
}

DomainController::DomainController(
    std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

DomainController::~DomainController() {
  Stop();
}

void DomainController::Tick(base::Instant now) {
  Implementation& self = *implementation_;
  self.FollowLog(now);
  self.members->Tick(self.CaughtUp(), now);
  self.FollowKnowledge(now);
  const std::optional<std::int64_t> epoch = self.authority->HeldEpoch(now);
  self.membership->SetStatus(
      {.applied_revision = self.members->revision(),
       .authority_epoch = static_cast<std::uint64_t>(epoch.value_or(0)),
       .holding = epoch ? membership::AuthorityHolding::kHeld
                        : membership::AuthorityHolding::kNotHeld});
}

void DomainController::HandleMessage(net::MessageType type,
                                     const std::string& body,
                                     const net::MessageReply& reply) {
  if (type == membership::kJoinMessageType)
    implementation_->membership->HandleJoin(body, reply);
  if (type == kLocalTakeOutMessage)
    implementation_->TakeOutHere();
}

std::optional<std::int64_t> DomainController::HeldEpoch(
    base::Instant now) const {
  return implementation_->authority->HeldEpoch(now);
}

StartPermission DomainController::PermitStart(base::Instant now) const {
  Implementation& self = *implementation_;
  authority::StartConditions conditions{
      .held_epoch = self.authority->HeldEpoch(now),
      // The engine itself knows what may start before its recovery has ended.
      .recovered = true};
  const base::DomainId& id = self.options.settings->domain;
  self.options.cluster->Read([&](const cluster::ClusterState& state) {
    const cluster::DomainState domain = state.domain(id);
    conditions.domain_in = domain.status == cluster::DomainStatus::kIn;
    conditions.domain_revision = domain.revision;
    for (const cluster::DomainConfiguration& configured :
         state.configuration().domains) {
      if (configured.id != id)
        continue;
      conditions.configured = self.members->follows();
      if (configured.autonomy_seconds)
        conditions.autonomy =
            std::chrono::seconds(*configured.autonomy_seconds);
    }
  });
  std::lock_guard lock(self.mutex);
  conditions.last_log_contact = self.last_log_contact;
  switch (self.gate.Decide(conditions, now)) {
    case authority::StartVerdict::kMayStart:
      return StartPermission::kGranted;
    case authority::StartVerdict::kAutonomyRunOut:
      return StartPermission::kWithdrawn;
    default:
      return StartPermission::kDenied;
  }
}

std::optional<authority::AppliedRevisions> DomainController::applied_revisions()
    const {
  const Implementation& self = *implementation_;
  if (!self.members->follows())
    return std::nullopt;
  authority::AppliedRevisions applied;
  for (const membership::HostView& view : self.membership->snapshot()->hosts) {
    if (view.member.domain == self.options.settings->domain &&
        view.member.id.role == membership::HostRole::kControl)
      applied[view.member.id.host] = view.status.applied_revision;
  }
  applied[self.options.settings->host] = self.members->revision();
  return applied;
}

std::string DomainController::AuthorityAddress() const {
  const Implementation& self = *implementation_;
  const auto holder = self.authority->holder();
  const base::Duration recent =
      2 * self.options.settings->timeouts.authority_lease;
  if (!holder || holder->host == self.options.settings->host ||
      base::MonotonicClock::now() - holder->last_heard > recent)
    return {};
  return self.HttpAddressOf(holder->host);
}

std::string DomainController::AuthorityOf(const base::DomainId& domain) const {
  const Implementation& self = *implementation_;
  for (const membership::HostView& view : self.membership->snapshot()->hosts) {
    if (view.member.domain == domain && HoldsAuthority(view) &&
        view.member.id.host != self.options.settings->host)
      return view.member.http.ToString();
  }
  return {};
}

void DomainController::SawEpoch(std::int64_t epoch) {
  implementation_->authority->SawEpoch(epoch);
}

void DomainController::PublishCapacity(
    const std::optional<placement::CapacityView>& capacity) {
  const auto epoch =
      implementation_->authority->HeldEpoch(base::MonotonicClock::now());
  if (!capacity || !epoch)
    return;
  implementation_->membership->SetCapacity(
      static_cast<std::uint64_t>(*epoch),
      {.accelerators =
           static_cast<std::uint32_t>(std::max(capacity->free.accelerators, 0)),
       .cores = static_cast<std::uint32_t>(std::max(capacity->free.cores, 0)),
       .memory_megabytes = static_cast<std::uint64_t>(
           std::max(capacity->free.memory_megabytes, 0))});
}

std::set<base::DomainId> DomainController::ReachableDomains() const {
  std::set<base::DomainId> reachable;
  for (const membership::HostView& view :
       implementation_->membership->snapshot()->hosts) {
    if (HoldsAuthority(view))
      reachable.insert(view.member.domain);
  }
  return reachable;
}

std::set<base::DomainId> DomainController::StoppedDomains() const {
  const Implementation& self = *implementation_;
  const base::Instant now = base::MonotonicClock::now();
  return self.options.cluster->Read([&](const cluster::ClusterState& state) {
    std::lock_guard lock(self.mutex);
    return self.tracker.StoppedDomains({.configuration = &state.configuration(),
                                        .observed = &self.observed,
                                        .observed_since = self.started},
                                       state.domains(), now);
  });
}

cluster::HostObservation DomainController::ObserveHosts() const {
  const Implementation& self = *implementation_;
  const base::Instant now = base::MonotonicClock::now();
  cluster::HostObservation observation{.domains_with_authority =
                                           ReachableDomains()};
  std::lock_guard lock(self.mutex);
  for (const auto& [process, known] : self.observed) {
    if (process.second != authority::ProcessRole::kControl)
      continue;
    cluster::HostCondition& condition = observation.hosts[process.first];
    condition = cluster::HostCondition::kUncertain;
    if (known.liveness == authority::Liveness::kAlive)
      condition = cluster::HostCondition::kAlive;
    if (known.liveness == authority::Liveness::kDead &&
        now - known.last_heard > kSuspendAfter)
      condition = cluster::HostCondition::kDead;
  }
  return observation;
}

std::vector<MissingPart> DomainController::Missing(
    std::uint64_t revision) const {
  const Implementation& self = *implementation_;
  const base::Instant now = base::MonotonicClock::now();
  const auto missing =
      self.options.cluster->Read([&](const cluster::ClusterState& state) {
        std::lock_guard lock(self.mutex);
        return self.tracker.Missing(
            {.configuration = &state.configuration(),
             .observed = &self.observed,
             .revision = revision,
             .applied_here = self.applied_here.Since(revision).value_or(now),
             .observed_since = self.started},
            now);
      });
  std::vector<MissingPart> parts;
  parts.reserve(missing.size());
  for (const authority::MissingConfirmation& part : missing) {
    parts.push_back(
        {.kind = part.kind == authority::MissingKind::kHost ? "host" : "domain",
         .id = part.id,
         .why = part.why});
  }
  return parts;
}

void DomainController::TakeOutLocally(const base::DomainId& id) {
  Implementation& self = *implementation_;
  if (id != self.options.settings->domain)
    return;
  self.TakeOutHere();
  for (const cluster::HostConfiguration& host : self.Hosts()) {
    if (host.domain != id || host.id == self.options.settings->host)
      continue;
    if (const auto channel = self.options.channels->Open(host.control_messages))
      channel->Send(kLocalTakeOutMessage, {});
  }
}

bool DomainController::taken_out_locally() const {
  std::lock_guard lock(implementation_->mutex);
  return implementation_->gate.taken_out_locally();
}

void DomainController::AddStatus(Value& value) const {
  const Implementation& self = *implementation_;
  const consensus::ReplicaStatus status =
      self.options.cluster_replica->status();
  value.Add("host", Value::Text(self.options.settings->host.value()));
  value.Add("domain", Value::Text(self.options.settings->domain.value()));
  // While false, the loss of another host of this domain needs an operator.
  value.Add("host_lists_settled", Value::Boolean(self.members->follows() &&
                                                 self.authority->settled()));
  Value group = Value::Mapping();
  group.Add("role", Value::Text(std::string(consensus::RoleName(status.role))));
  group.Add("leader", Value::Text(status.leader.value()));
  group.Add("term", Number(status.term));
  group.Add("commit_index", Number(status.commit_index));
  group.Add("applied_index", Number(status.applied_index));
  value.Add("cluster_group", std::move(group));
  Value hosts = Value::Sequence();
  for (const membership::HostView& view : self.membership->snapshot()->hosts) {
    Value host = Value::Mapping();
    host.Add("host", Value::Text(view.member.id.host.value()));
    host.Add("role",
             Value::Text(view.member.id.role == membership::HostRole::kControl
                             ? "control"
                             : "entry"));
    host.Add("domain", Value::Text(view.member.domain.value()));
    host.Add("state", Value::Text(std::string(StateName(view.member.state))));
    host.Add("applied_revision", Number(view.status.applied_revision));
    host.Add("authority", Value::Boolean(HoldsAuthority(view)));
    hosts.items.push_back(std::move(host));
  }
  value.Add("hosts", std::move(hosts));
}

void DomainController::AddDomain(const base::DomainId& id, Value& value) const {
  const auto snapshot = implementation_->membership->snapshot();
  for (const membership::HostView& view : snapshot->hosts) {
    if (view.member.domain != id || !HoldsAuthority(view))
      continue;
    value.Add("authority", Value::Text(view.member.id.host.value()));
    value.Add("authority_http", Value::Text(view.member.http.ToString()));
    value.Add("epoch", Number(view.status.authority_epoch));
    break;
  }
  const auto domain = snapshot->domains.find(id);
  if (domain != snapshot->domains.end()) {
    value.Add("free_accelerators",
              Number(domain->second.capacity.capacity.accelerators));
    value.Add("free_cores", Number(domain->second.capacity.capacity.cores));
  }
  if (id == implementation_->options.settings->domain && taken_out_locally())
    value.Add("taken_out_locally", Value::Boolean(true));
}

void DomainController::ChangeMembers(const net::HttpRequest& request,
                                     consensus::ReplicaRuntime* records_replica,
                                     net::HttpResponder respond) {
  HandleMemberChange(
      request,
      {.hosts = implementation_->Hosts(),
       .cluster_replica = implementation_->options.cluster_replica,
       .records_replica = records_replica},
      std::move(respond));
}

void DomainController::Release() {
  implementation_->authority->Release();
  implementation_->membership->LeaveCluster();
}

void DomainController::Stop() {
  Implementation& self = *implementation_;
  if (self.authority)
    self.authority->Stop();
  // The socket goes first, because it calls the services.
  self.socket.reset();
  self.membership.reset();
}

}  // namespace wigeonstair::control
