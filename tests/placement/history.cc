#include "tests/placement/history.h"

#include <algorithm>
#include <array>

#include "tests/placement/guarantee_checker.h"

namespace wigeonstair::placement {

namespace {

using cluster::AdjacencyFallback;
using cluster::CellLevel;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRacks = 2;
constexpr int kWorkersPerRack = 3;
constexpr Resources kWorker{.accelerators = 4,
                            .cores = 16,
                            .memory_megabytes = 64'000};
constexpr base::Duration kTick = milliseconds(200);

struct Shape {
  int tasks;
  int accelerators;
  CellLevel adjacency;
  AdjacencyFallback fallback;
};

// The seventh and eighth shapes can never run in this domain.
constexpr std::array<Shape, 12> kShapes = {{
    {1, 1, CellLevel::kDomain, AdjacencyFallback::kWait},
    {1, 2, CellLevel::kDomain, AdjacencyFallback::kWait},
    {1, 4, CellLevel::kWorker, AdjacencyFallback::kWait},
    {2, 4, CellLevel::kRack, AdjacencyFallback::kWait},
    {3, 2, CellLevel::kDomain, AdjacencyFallback::kWait},
    {4, 1, CellLevel::kWorker, AdjacencyFallback::kAnywhere},
    {6, 4, CellLevel::kRack, AdjacencyFallback::kWait},
    {1, 8, CellLevel::kDomain, AdjacencyFallback::kWait},
    {5, 2, CellLevel::kRack, AdjacencyFallback::kAnywhere},
    {1, 0, CellLevel::kDomain, AdjacencyFallback::kWait},
    {6, 0, CellLevel::kDomain, AdjacencyFallback::kWait},
    {3, 4, CellLevel::kRack, AdjacencyFallback::kWait},
}};

const base::DomainId kDomain("linz");

cluster::DomainConfiguration Domain() {
  cluster::DomainConfiguration domain;
  domain.id = kDomain;
  for (int i = 0; i < kRacks; ++i) {
    domain.racks.push_back(
        {.id = base::RackId("rack-" + std::to_string(i)),
         .workers = kWorkersPerRack,
         .cores_per_worker = kWorker.cores,
         .memory_megabytes_per_worker = kWorker.memory_megabytes,
         .accelerators_per_worker = kWorker.accelerators});
  }
  return domain;
}

cluster::CustomerConfiguration Customer(
    std::string name,
    const std::vector<std::pair<cluster::CellShape, int>>& cells) {
  cluster::CustomerConfiguration customer;
  customer.id = base::CustomerId(std::move(name));
  for (const auto& [shape, count] : cells)
    customer.guarantees.push_back(
        {.domain = kDomain, .shape = shape, .count = count});
  return customer;
}

// Two sets of guarantees; both use 22 of the 24 accelerators.
std::vector<cluster::CustomerConfiguration> Customers(int variant) {
  const cluster::CellShape rack{CellLevel::kRack, 8};
  const cluster::CellShape worker{CellLevel::kWorker, 4};
  const cluster::CellShape half{CellLevel::kWorker, 2};
  const cluster::CellShape single{CellLevel::kAccelerator, 1};
  std::vector<cluster::CustomerConfiguration> customers;
  if (variant == 0) {
    customers = {Customer("a", {{rack, 1}}), Customer("b", {{worker, 2}}),
                 Customer("c", {{single, 4}, {half, 1}}), Customer("d", {})};
  } else {
    customers = {Customer("a", {{worker, 2}}), Customer("b", {{rack, 1}}),
                 Customer("c", {{half, 3}}), Customer("d", {})};
  }
  customers[2].borrowing_limit = 6;
  customers[3].priority = 90;
  return customers;
}

std::string JobName(std::size_t number) {
  return "job-" + std::to_string(number);
}

}  // namespace

std::ostream& operator<<(std::ostream& stream, const Operation& operation) {
  constexpr std::array<const char*, 13> kNames = {
      "submit",     "cancel",     "advance",   "lose worker",
      "return",     "take out",   "take in",   "drop directive",
      "failing",    "guarantees", "authority", "authority with partition",
      "full report"};
  return stream << kNames[static_cast<std::size_t>(operation.kind)] << ' '
                << operation.first << ' ' << operation.second;
}

History::History(PlantedFault fault)
    : fault_(fault), now_(seconds(1000)), customers_(Customers(0)) {
  for (int i = 0; i < kRacks * kWorkersPerRack; ++i) {
    fleet_.AddWorker(
        base::WorkerId("worker-" + std::to_string(i)),
        base::RackId("rack-" + std::to_string(i / kWorkersPerRack)), kWorker);
  }
  CreateEngine(DomainStatus::kIn);
  AdvanceBy(seconds(4));
}

void History::CreateEngine(DomainStatus status) {
  auto created = base::Capture([&] {
    return Engine::create({.domain = Domain(),
                           .customers = customers_,
                           .status = status,
                           .drain_mode = mode_,
                           .created_at = now_,
                           .attempt_base = std::int64_t{++epoch_} << 20,
                           .ejection_period = seconds(5),
                           // Lets gangs yield despite the short runs here.
                           .minimum_jobs_for_yield = 1,
                           .run_to_migration_ratio = 0,
                           .migration_cost = {},
                           .planted_fault = fault_});
  });
  engine_.emplace(std::move(std::get<Engine>(created)));
  for (const Event& event : fleet_.RegisterAll())
    Step(event);
}

void History::ChangeAuthority() {
  CreateEngine(out_ ? DomainStatus::kOut : DomainStatus::kIn);
  for (const base::JobId& id : order_) {
    if (!answered_.contains(id) && !released_.contains(id))
      Step(jobs_[id]);
  }
}

// Partitions a worker with tasks; one without tasks would not affect the
// engine.
void History::Partition(int number) {
  if (partitioned_worker_ || fleet_.tasks().empty())
    return;
  const auto task =
      std::next(fleet_.tasks().begin(),
                static_cast<std::ptrdiff_t>(number % fleet_.tasks().size()));
  partitioned_worker_ = task->second.worker;
  fleet_.Partition(*partitioned_worker_);
  partition_ends_at_ = now_ + EngineOptions().recovery_period;
}

void History::HealPartition() {
  if (partitioned_worker_ && fleet_.IsPartitioned(*partitioned_worker_))
    Step(fleet_.Lose(*partitioned_worker_));
  partitioned_worker_.reset();
}

std::vector<Violation> History::Run(const std::vector<Operation>& operations) {
  for (const Operation& operation : operations)
    Apply(operation);
  Heal();
  ClaimAllGuarantees();
  RunUntilAllEnded();
  CheckAnswers();
  std::vector<Violation> all = fleet_.violations();
  all.insert(all.end(), violations_.begin(), violations_.end());
  return all;
}

void History::Apply(const Operation& operation) {
  const auto& names = fleet_.workers();
  const base::WorkerId& worker = names[operation.first % names.size()];
  switch (operation.kind) {
    case OperationKind::kSubmit:
      return Submit(operation.first, operation.second);
    case OperationKind::kCancel:
      if (!order_.empty())
        Step(JobCancelled{order_[operation.first % order_.size()]});
      return;
    case OperationKind::kAdvance:
      return AdvanceBy(milliseconds(300 * (operation.first % 30)));
    case OperationKind::kLoseWorker:
      return Step(fleet_.Lose(worker));
    case OperationKind::kReturnWorker:
      if (!fleet_.IsLive(worker) || fleet_.IsPartitioned(worker))
        Step(fleet_.Return(worker));
      return;
    case OperationKind::kTakeOut:
      out_ = true;
      mode_ =
          operation.first % 2 ? DrainMode::kRelease : DrainMode::kHoldForReturn;
      fleet_.SetDomainOut(true);
      return Step(
          DomainStatusChanged{.status = DomainStatus::kOut, .mode = mode_});
    case OperationKind::kTakeIn:
      return TakeIn();
    case OperationKind::kDropDirective:
      return Drop(operation.first);
    case OperationKind::kToggleFailing:
      return fleet_.ToggleFailing(worker);
    case OperationKind::kChangeGuarantees:
      customers_ = Customers(operation.first % 2);
      return Step(
          GuaranteesChanged{.domain = Domain(), .customers = customers_});
    case OperationKind::kChangeAuthority:
      return ChangeAuthority();
    case OperationKind::kChangeAuthorityWithPartition:
      Partition(operation.first);
      return ChangeAuthority();
    case OperationKind::kFullReport:
      if (fleet_.IsLive(worker) && !fleet_.IsPartitioned(worker))
        Step(fleet_.FullReport(worker));
      return;
  }
}

void History::Submit(int shape_number, int selector) {
  const Shape& shape = kShapes[shape_number % kShapes.size()];
  const std::int64_t run = 1000 + selector % 41 * 1000;
  cluster::JobSpecification job;
  job.id = base::JobId(JobName(order_.size()));
  job.customer = customers_[selector % customers_.size()].id;
  job.job_class = "class-" + std::to_string(selector % 3);
  job.tasks = shape.tasks;
  job.accelerators_per_task = shape.accelerators;
  job.cores_per_task = std::max(1, 2 * shape.accelerators);
  job.adjacency = shape.adjacency;
  job.fallback = shape.fallback;
  // Declared times are off by a factor of ten either way.
  job.declared_run_milliseconds = selector % 2 ? run * 10 : run / 10;
  SubmitJob(job, run);
}

void History::SubmitJob(const cluster::JobSpecification& job,
                        std::int64_t run) {
  order_.push_back(job.id);
  jobs_[job.id] = {.specification = job};
  fleet_.SetRun(job.id, job.tasks, run);
  // Only the first submission excludes a former run; a new authority resubmits
  // jobs that may already be running.
  JobSubmitted first = jobs_[job.id];
  first.former_run = FormerRun::kImpossible;
  Step(first);
}

void History::TakeIn() {
  out_ = false;
  fleet_.SetDomainOut(false);
  Step(DomainStatusChanged{.status = DomainStatus::kIn, .mode = mode_});
  const auto released = std::exchange(released_, {});
  for (const auto& [id, checkpoint] : released) {
    jobs_[id].resume_from_milliseconds = checkpoint;
    Step(jobs_[id]);
  }
}

void History::Drop(int kind) {
  DroppedDirectives& drops = fleet_.drops();
  std::array<int*, 4> counts = {&drops.prepares, &drops.starts,
                                &drops.checkpoints, &drops.stops};
  *counts[kind % counts.size()] = 1;
}

void History::Step(const Event& event) {
  Observe(engine_->Step(event, now_));
}

void History::Observe(const std::vector<Decision>& decisions) {
  for (const Decision& decision : decisions) {
    if (const auto* ended = std::get_if<JobEnded>(&decision))
      answered_.insert(ended->job);
    else if (const auto* refused = std::get_if<JobRefused>(&decision))
      answered_.insert(refused->job);
    else if (const auto* waiting = std::get_if<JobWaiting>(&decision))
      waiting_.insert(waiting->job);
    else if (const auto* released = std::get_if<JobReleased>(&decision))
      released_[released->job] = released->checkpoint_milliseconds;
    if (std::holds_alternative<CheckpointTask>(decision) &&
        ReasonOf(decision).code == ReasonCode::kYield)
      ++yielded_tasks_;
    if (ReasonOf(decision).text.empty()) {
      violations_.push_back(
          {BrokenProperty::kUnanswered, "a decision has no reason text"});
    }
  }
  fleet_.Accept(decisions, now_);
  CheckGuarantees();
}

void History::AdvanceBy(base::Duration duration) {
  const base::Instant end = now_ + duration;
  while (now_ < end) {
    now_ += kTick;
    if (partitioned_worker_ && now_ >= partition_ends_at_)
      HealPartition();
    for (const Event& event : fleet_.Advance(now_))
      Step(event);
    Step(Tick{});
  }
}

// Property (a) for the coverage that the engine reports: guaranteed tasks fit
// into cells of their customers beside the other cells of all customers.
void History::CheckGuarantees() {
  std::vector<CheckedWorker> workers;
  std::map<base::WorkerId, int> positions;
  for (std::size_t i = 0; i < fleet_.workers().size(); ++i) {
    // With fewer workers than configured, the guarantees cannot all be
    // provided.
    if (!fleet_.IsLive(fleet_.workers()[i]))
      return;
    positions[fleet_.workers()[i]] = static_cast<int>(i);
    workers.push_back({.rack = static_cast<int>(i) / kWorkersPerRack,
                       .accelerators = kWorker.accelerators});
  }
  std::vector<std::pair<base::JobId, std::string>> covered;
  for (const JobView& job : engine_->jobs()) {
    if (job.coverage != Coverage::kGuaranteed)
      continue;
    for (const TaskView& task : job.tasks) {
      for (std::size_t i = 0; i < customers_.size(); ++i) {
        if (customers_[i].id == job.customer) {
          workers[positions[task.place.worker]].covered[static_cast<int>(i)] +=
              static_cast<int>(task.accelerators.size());
        }
      }
      covered.emplace_back(job.job, task.place.worker.value());
    }
  }
  if (covered == last_covered_)
    return;
  last_covered_ = covered;
  if (!CanProvideAllGuarantees(workers, customers_)) {
    violations_.push_back(
        {BrokenProperty::kGuarantee,
         "the unclaimed guarantees do not fit beside guaranteed tasks"});
  }
}

void History::Heal() {
  fleet_.Heal();
  fleet_.drops() = {};
  HealPartition();
  for (const base::WorkerId& worker : fleet_.workers()) {
    if (!fleet_.IsLive(worker))
      Step(fleet_.Return(worker));
  }
  TakeIn();
}

// Property (a) end to end: while a customer without a guarantee fills the
// domain, all others claim their unclaimed guarantees and must get them.
void History::ClaimAllGuarantees() {
  for (int i = 0; i < 24; ++i) {
    cluster::JobSpecification job;
    job.id = base::JobId("filler-" + std::to_string(i));
    job.customer = base::CustomerId("d");
    job.accelerators_per_task = 1;
    SubmitJob(job, 60'000);
  }
  AdvanceBy(seconds(12));
  const std::vector<WorkerView> workers = engine_->workers();
  const bool healthy =
      std::all_of(workers.begin(), workers.end(), [](const WorkerView& worker) {
        return worker.health == WorkerHealthState::kHealthy;
      });
  if (!healthy)
    return;
  const std::vector<base::JobId> claims = SubmitClaims();
  AdvanceBy(seconds(30));
  for (const base::JobId& id : claims) {
    const std::optional<JobView> job = engine_->job(id);
    if (!job || job->state != JobState::kRunning) {
      violations_.push_back(
          {BrokenProperty::kGuarantee,
           "an unclaimed guarantee was not provided: " + id.value()});
    }
    Step(JobCancelled{id});
  }
}

std::vector<base::JobId> History::SubmitClaims() {
  std::vector<base::JobId> claims;
  for (const CustomerView& customer : engine_->customers()) {
    for (const GuaranteeView& guarantee : customer.guarantees) {
      for (int i = guarantee.claimed; i < guarantee.cells; ++i) {
        cluster::JobSpecification job;
        job.id = base::JobId("claim-" + std::to_string(claims.size()));
        job.customer = customer.customer;
        job.urgency = cluster::Urgency::kUrgent;
        job.adjacency = guarantee.shape.level;
        job.tasks = std::max(1, guarantee.shape.accelerators / 4);
        job.accelerators_per_task = guarantee.shape.accelerators / job.tasks;
        claims.push_back(job.id);
        SubmitJob(job, 120'000);
      }
    }
  }
  return claims;
}

bool History::AllEnded() const {
  return std::all_of(order_.begin(), order_.end(),
                     [&](const auto& id) { return answered_.contains(id); });
}

void History::RunUntilAllEnded() {
  for (int i = 0; i < 60 && !AllEnded(); ++i)
    AdvanceBy(seconds(10));
}

// Properties (d) and (e): once all workers are in service again, every job must
// end. Distinguishes jobs that wait for a reported reason from those without
// any answer.
void History::CheckAnswers() {
  for (const base::JobId& id : order_) {
    if (answered_.contains(id))
      continue;
    const std::optional<JobView> job = engine_->job(id);
    if (!job || !waiting_.contains(id)) {
      violations_.push_back(
          {BrokenProperty::kUnanswered,
           "neither an end nor a reason to wait was reported: " + id.value()});
    } else {
      violations_.push_back({BrokenProperty::kLostTask,
                             id.value() + " does not end: " +
                                 std::string(JobStateName(job->state)) + ", " +
                                 job->reason.text});
    }
  }
}

}  // namespace wigeonstair::placement
