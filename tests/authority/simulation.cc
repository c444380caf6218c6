#include "tests/authority/simulation.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::authority {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kStep(10);
constexpr milliseconds kTick(50);
// The observer counts a host as dead after this time without contact.
constexpr milliseconds kDeadAfter(2000);

base::HostId HostName(int host) {
  return base::HostId("host-" + std::to_string(host));
}

int HostIndex(const base::HostId& host) {
  return std::stoi(host.value().substr(5));
}

}  // namespace

Simulation::Simulation(SimulationOptions options)
    : options_(options),
      random_(options.seed),
      now_(seconds(1'000)),
      hosts_(static_cast<std::size_t>(options.hosts)),
      cut_(static_cast<std::size_t>(options.hosts * options.hosts)) {
  MemberList list{.version = 1};
  for (int i = 0; i < options_.hosts; ++i)
    list.hosts.insert(HostName(i));
  log_.push_back(list);
  for (int i = 0; i < options_.hosts; ++i) {
    // Any two clocks differ by at most 1%.
    At(i).clock_rate = 995 + static_cast<std::int64_t>(random_.Below(11));
    Restart(i);
  }
}

base::Instant Simulation::Local(const Host& host) const {
  return base::Instant(now_.time_since_epoch() * host.clock_rate / 1000);
}

void Simulation::Restart(int host) {
  Host& restarted = At(host);
  ElectionOptions options{
      .self = HostName(host),
      .first_epoch = now_.time_since_epoch() / milliseconds(1),
      .seed = random_.Next(),
      .fault = options_.fault};
  restarted.election = std::make_unique<Election>(options, Local(restarted));
  restarted.frozen_until = {};
  // The host applies the log again up to the entry that it had applied before.
  const std::size_t lists = std::max<std::size_t>(restarted.applied_lists, 1);
  restarted.applied_lists = 0;
  while (restarted.applied_lists < lists)
    Step(host, log_[restarted.applied_lists++]);
}

void Simulation::Freeze(int host, base::Duration duration) {
  At(host).frozen_until = now_ + duration;
}

void Simulation::ToggleMember(int host) {
  MemberList list = log_.back();
  ++list.version;
  if (list.hosts.erase(HostName(host)) == 0)
    list.hosts.insert(HostName(host));
  if (!list.hosts.empty())
    log_.push_back(list);
}

void Simulation::TakeOut() {
  MemberList list = log_.back();
  ++list.version;
  log_.push_back(list);
  take_out_version_ = list.version;
  take_out_time_ = now_;
}

void Simulation::Heal() {
  std::fill(cut_.begin(), cut_.end(), false);
  log_cut_.clear();
  loss_percent_ = 0;
  for (Host& host : hosts_)
    host.frozen_until = {};
}

void Simulation::RunFor(base::Duration duration) {
  for (const base::Instant end = now_ + duration; now_ < end;)
    Advance();
}

void Simulation::RunWithFaults(base::Duration duration) {
  for (const base::Instant end = now_ + duration; now_ < end;) {
    if (random_.Below(40) == 0)
      AddFault();
    Advance();
  }
}

void Simulation::AddFault() {
  const auto hosts = static_cast<std::uint64_t>(options_.hosts);
  const int host = static_cast<int>(random_.Below(hosts));
  const int other = static_cast<int>(random_.Below(hosts));
  switch (random_.Below(10)) {
    case 0:
      Freeze(host, milliseconds(random_.Below(5'000)));
      break;
    case 1:
      Restart(host);
      break;
    case 2:
      Cut(host, other);
      break;
    case 3:
      Cut(host, other);
      Cut(other, host);
      break;
    case 4:
      for (int i = 0; i < options_.hosts; ++i) {
        Cut(host, i);
        Cut(i, host);
      }
      break;
    case 5:
      loss_percent_ = static_cast<int>(random_.Below(60));
      break;
    case 6:
      CutFromLog(host);
      break;
    case 7:
      ToggleMember(host);
      break;
    case 8:
      Step(host, EpochSeenEvent{.epoch = last_epoch_});
      break;
    default:
      Heal();
  }
}

void Simulation::Advance() {
  now_ += kStep;
  Deliver();
  for (int i = 0; i < options_.hosts; ++i) {
    Host& host = At(i);
    if (now_ < host.frozen_until)
      continue;
    ReadLog(i);
    if (now_ >= host.next_tick) {
      host.next_tick = now_ + kTick;
      Step(i, TickEvent{});
    }
  }
  Check();
}

void Simulation::Deliver() {
  std::vector<InFlightMessage> due;
  // A frozen host receives the messages of that time when it resumes.
  std::erase_if(in_flight_, [&](const InFlightMessage& flight) {
    if (flight.due > now_ || now_ < At(flight.to).frozen_until)
      return false;
    due.push_back(flight);
    return true;
  });
  for (const InFlightMessage& flight : due)
    Step(flight.to, flight.message);
}

void Simulation::ReadLog(int index) {
  Host& host = At(index);
  host.observation.liveness = Liveness::kDead;
  if (log_cut_.contains(index)) {
    if (now_ < host.observation.last_heard + kDeadAfter)
      host.observation.liveness = Liveness::kAlive;
    return;
  }
  if (host.applied_lists < log_.size() && random_.Below(5) == 0) {
    const MemberList list = log_[host.applied_lists++];
    host.domain_in = !take_out_version_ || list.version < *take_out_version_;
    Step(index, list);
  }
  if (host.applied_lists == log_.size())
    host.last_contact = Local(host);
  host.observation.last_heard = now_;
  host.observation.liveness = Liveness::kAlive;
  host.observation.applied.Note(log_[host.applied_lists - 1].version, now_);
}

void Simulation::Step(int index, const ElectionEvent& event) {
  Host& host = At(index);
  const ElectionOutput output = host.election->Step(event, Local(host));
  for (const OutgoingMessage& outgoing : output.messages)
    Send(index, outgoing);
  for (const StateChange& change : output.changes) {
    ++changes_;
    if (const auto* acquired = std::get_if<Acquired>(&change)) {
      if (acquired->epoch <= last_epoch_)
        violations_.insert(Violation::kEpochNotHigher);
      last_epoch_ = std::max(last_epoch_, acquired->epoch);
    }
  }
}

void Simulation::Send(int from, const OutgoingMessage& outgoing) {
  const int to = HostIndex(outgoing.to);
  if (cut_[Link(from, to)])
    return;
  // Most messages arrive within 20 ms; some are lost, delayed, duplicated or
  // reordered.
  for (std::uint64_t copies = 1 + random_.Below(20) / 19; copies > 0;
       --copies) {
    if (random_.Below(100) < static_cast<std::uint64_t>(loss_percent_))
      continue;
    const std::uint64_t bound =
        loss_percent_ != 0 && random_.Below(10) == 0 ? 4'000 : 20;
    in_flight_.push_back({.due = now_ + milliseconds(random_.Below(bound)),
                          .from = from,
                          .to = to,
                          .message = outgoing.message});
  }
}

std::vector<int> Simulation::Holders() const {
  std::vector<int> holders;
  for (int i = 0; i < options_.hosts; ++i) {
    if (At(i).election->HeldEpoch(Local(At(i))))
      holders.push_back(i);
  }
  return holders;
}

bool Simulation::MayStart(int index) const {
  const Host& host = At(index);
  StartConditions conditions{
      .held_epoch = host.election->HeldEpoch(Local(host)),
      .configured = true,
      .domain_in = host.domain_in,
      .last_log_contact = host.last_contact,
      .recovered = true};
  if (options_.autonomy_seconds)
    conditions.autonomy = seconds(*options_.autonomy_seconds);
  return StartGate(options_.fault).Decide(conditions, Local(host)) ==
         StartVerdict::kMayStart;
}

bool Simulation::InForce() const {
  if (!take_out_version_)
    return false;
  cluster::ClusterConfiguration configuration;
  configuration.domains.push_back(
      {.id = base::DomainId("linz"),
       .autonomy_seconds = options_.autonomy_seconds});
  ObservationMap observed;
  for (const base::HostId& host : log_.back().hosts) {
    configuration.hosts.push_back({.id = host,
                                   .domain = base::DomainId("linz"),
                                   .control_http = "127.0.0.1:1"});
    ProcessObservation observation = At(HostIndex(host)).observation;
    if (now_ >= observation.last_heard + kDeadAfter)
      observation.liveness = Liveness::kDead;
    observed[{host, ProcessRole::kControl}] = observation;
  }
  return TakeOutTracker({}, options_.fault)
      .Missing({.configuration = &configuration,
                .observed = &observed,
                .revision = *take_out_version_,
                .applied_here = take_out_time_},
               now_)
      .empty();
}

void Simulation::Check() {
  const std::vector<int> holders = Holders();
  if (holders.size() > 1)
    violations_.insert(Violation::kTwoHolders);
  for (int host : holders) {
    if (MayStart(host) && InForce())
      violations_.insert(Violation::kStartAfterTakeOut);
  }
}

}  // namespace wigeonstair::authority
