#ifndef WIGEONSTAIR_TESTS_PLACEMENT_HISTORY_H_
#define WIGEONSTAIR_TESTS_PLACEMENT_HISTORY_H_

#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "placement/engine.h"
#include "tests/placement/fake_fleet.h"

namespace wigeonstair::placement {

enum class OperationKind {
  kSubmit,
  kCancel,
  kAdvance,
  kLoseWorker,
  kReturnWorker,
  kTakeOut,
  kTakeIn,
  kDropDirective,
  kToggleFailing,
  kChangeGuarantees,
  kChangeAuthority,
  // One worker does not register with the new authority; it goes on running its
  // tasks until its lease expires.
  kChangeAuthorityWithPartition,
  kFullReport,
};

// One step of a random history. What the numbers select depends on the kind.
struct Operation {
  OperationKind kind = OperationKind::kAdvance;
  int first = 0;
  int second = 0;
};

std::ostream& operator<<(std::ostream& stream, const Operation& operation);

// Runs an engine with a fake fleet of a small domain: two racks with three
// workers of four accelerators each, and four customers.
class History {
 public:
  explicit History(PlantedFault fault);

  // Applies the operations, then claims all unclaimed guarantees, then runs
  // until all jobs have ended. Returns all violations of properties.
  std::vector<Violation> Run(const std::vector<Operation>& operations);
  // Tasks that were checkpointed because their gang yielded.
  int yielded_tasks() const { return yielded_tasks_; }

 private:
  void Apply(const Operation& operation);
  void Submit(int shape, int selector);
  void SubmitJob(const cluster::JobSpecification& job, std::int64_t run);
  void TakeIn();
  void Drop(int kind);
  void ChangeAuthority();
  void Partition(int number);
  void HealPartition();
  void CreateEngine(DomainStatus status);
  void Step(const Event& event);
  void Observe(const std::vector<Decision>& decisions);
  void AdvanceBy(base::Duration duration);
  void CheckGuarantees();
  // Ends all faults and brings all workers and the domain back into service.
  void Heal();
  void ClaimAllGuarantees();
  std::vector<base::JobId> SubmitClaims();
  void RunUntilAllEnded();
  void CheckAnswers();
  bool AllEnded() const;

  PlantedFault fault_;
  std::optional<Engine> engine_;
  FakeFleet fleet_;
  base::Instant now_;
  std::vector<cluster::CustomerConfiguration> customers_;
  int epoch_ = 0;
  std::optional<base::WorkerId> partitioned_worker_;
  // When the lease of the partitioned worker expires.
  base::Instant partition_ends_at_;
  int yielded_tasks_ = 0;
  bool out_ = false;
  DrainMode mode_ = DrainMode::kHoldForReturn;
  std::map<base::JobId, JobSubmitted> jobs_;
  std::vector<base::JobId> order_;
  std::set<base::JobId> answered_;
  std::set<base::JobId> waiting_;
  std::map<base::JobId, std::int64_t> released_;
  std::vector<std::pair<base::JobId, std::string>> last_covered_;
  std::vector<Violation> violations_;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_TESTS_PLACEMENT_HISTORY_H_
