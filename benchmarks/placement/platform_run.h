#ifndef WIGEONSTAIR_BENCHMARKS_PLACEMENT_PLATFORM_RUN_H_
#define WIGEONSTAIR_BENCHMARKS_PLACEMENT_PLATFORM_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "benchmarks/placement/engine_run.h"
#include "benchmarks/placement/outcome.h"
#include "benchmarks/placement/workload.h"
#include "cluster/cluster_state.h"
#include "cluster/command.h"

namespace wigeonstair::placement {

// Whether waiting jobs move to a domain that has room for them.
enum class Withdrawals : std::uint8_t { kOff, kOn };

// All failure domains of a deployment with the replicated state that assigns
// jobs to them, on a logical clock: the decisions that the control processes
// make, without their messages. The state changes once a second.
class PlatformRun {
 public:
  PlatformRun(const Deployment& deployment,
              const std::vector<WorkloadJob>& jobs,
              Withdrawals withdrawals);

  void RunUntil(int seconds);
  // Of the first domain.
  void TakeOut() { SetStatus(cluster::DomainStatus::kOut); }
  void BringBack() { SetStatus(cluster::DomainStatus::kIn); }

  // Accelerator-seconds of work done so far that are not lost.
  double useful_work() const;
  // Completion times of the jobs that have finished, from submission to end.
  std::vector<double> Completions() const;
  int moves() const { return moves_; }
  std::size_t finished() const { return finished_.size(); }

 private:
  void Configure(const Deployment& deployment);
  void Apply(const cluster::Command& command);
  void SetStatus(cluster::DomainStatus status);
  void SubmitUntil(int second);
  void Assign();
  void Give(const cluster::AssignJob& command);
  void TakeBack();
  void Withdraw();
  void NoteFinished();

  const std::vector<WorkloadJob>& jobs_;
  const Withdrawals withdrawals_;
  std::vector<base::DomainId> domains_;
  std::vector<std::unique_ptr<EngineRun>> runs_;
  cluster::ClusterState state_;
  std::map<base::JobId, std::size_t> indexes_;
  std::size_t next_job_ = 0;
  int second_ = 0;
  int moves_ = 0;
  std::map<std::size_t, double> finished_;
  int operations_ = 0;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_BENCHMARKS_PLACEMENT_PLATFORM_RUN_H_
