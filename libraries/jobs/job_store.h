#ifndef WIGEONSTAIR_LIBRARIES_JOBS_JOB_STORE_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_JOB_STORE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "jobs/command.h"
#include "jobs/job_changes.h"

namespace wigeonstair::jobs {

// The replicated state machine of the scheduler: accepted jobs, placements,
// ended runs and known workers. Deterministic.
class JobStore {
 public:
  CommandReply Apply(const Command& command);

  const Configuration& configuration() const { return configuration_; }
  // The configuration document as the operator sent it.
  const std::string& document() const { return document_; }
  bool InService(const base::DomainId& domain) const {
    return !out_of_service_.contains(domain);
  }
  const std::map<base::JobId, JobRecord>& jobs() const { return jobs_; }
  // Jobs that have not ended.
  const std::set<base::JobId>& open_jobs() const { return open_jobs_; }
  const JobRecord* FindJob(const base::JobId& id) const;
  // The job that has the task; null when there is none. Whoever was given a
  // task by another process finds its step and its progress only through this
  // or FindTask.
  const JobRecord* FindJobOf(const TaskRef& task) const;
  // Whether this attempt to run a task was placed at any time.
  bool WasPlaced(const RunKey& run) const;
  // Null when the job or its placement is not known.
  const TaskProgress* FindTask(const TaskRef& task) const;
  const std::map<base::WorkerId, WorkerDescription>& workers() const {
    return workers_;
  }

  // Whether this incarnation of a worker deregistered.
  bool HasDeregistered(const WorkerIncarnation& incarnation) const {
    return deregistered_.contains(incarnation);
  }

  const RunTimeModel& run_times() const { return run_times_; }

  // Increases with each change of workers(). Not replicated; differs between
  // hosts.
  std::uint64_t worker_revision() const { return worker_revision_; }

  // The jobs that the last commands changed. A reference to a job is valid
  // until the job is listed there.
  const JobChanges& job_changes() const { return job_changes_; }

  // The number of jobs of a queue without any placed task.
  std::uint64_t PendingJobs(const std::string& queue) const;

  std::string Snapshot() const;
  // Fails with kCorruptData.
  base::Result<std::monostate> Restore(std::string_view snapshot);

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(term_, configuration_, document_, out_of_service_, jobs_,
            open_jobs_, workers_);
  }

 private:
  CommandReply Execute(const PutConfiguration& command);
  CommandReply Execute(const SetDomainService& command);
  CommandReply Execute(const SubmitJob& command);
  CommandReply Execute(const CancelJob& command);
  CommandReply Execute(const CancelUnknownJob& command);
  CommandReply Execute(const TakeOver& command);
  CommandReply Execute(const PlaceTasks& command);
  CommandReply Execute(const EndTasks& command);
  CommandReply Execute(const RecordWorker& command);
  CommandReply Execute(const RemoveWorker& command);
  CommandReply Execute(const ForgetJobs& command);
  CommandReply Execute(const DeregisterWorker& command);
  CommandReply Execute(const ConfirmStarts& command);
  CommandReply Execute(const RecordRunTimes& command);

  // Fails with kCorruptData when the jobs refer to what does not exist.
  base::Result<std::monostate> CheckJobs() const;
  void Place(const Placement& placement);
  void End(const TaskEnd& listed, std::uint64_t now_ms);
  // `end` has the outcome of OutcomeFor.
  static void EndGang(JobRecord& job, const TaskEnd& end);
  static void EndSingle(TaskProgress& task, const TaskEnd& end);
  void Close(JobRecord& job, JobState state, std::uint64_t now_ms);

  // The highest term of a leader so far.
  std::uint64_t term_ = 0;
  Configuration configuration_;
  std::string document_;
  std::set<base::DomainId> out_of_service_;
  std::map<base::JobId, JobRecord> jobs_;
  std::set<base::JobId> open_jobs_;
  std::map<base::WorkerId, WorkerDescription> workers_;
  // When each incarnation deregistered, in milliseconds since the Unix epoch.
  std::map<WorkerIncarnation, std::uint64_t> deregistered_;
  RunTimeModel run_times_;
  std::uint64_t worker_revision_ = 1;
  JobChanges job_changes_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_JOB_STORE_H_
