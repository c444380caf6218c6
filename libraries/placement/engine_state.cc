#include "placement/engine_state.h"

namespace wigeonstair::placement {

void EngineState::RecordReason(Job& job,
                               std::string_view decision,
                               Reason reason) {
  job.reason = std::move(reason);
  if (job.entries.size() >= Explanation::kMaximumEntries)
    job.entries.erase(job.entries.begin());
  job.entries.push_back(
      {.at = now, .decision = decision, .reason = job.reason});
}

void EngineState::SetDeadline(Job& job, std::optional<base::Instant> deadline) {
  if (job.deadline)
    timers.erase({*job.deadline, job.sequence, &job});
  job.deadline = deadline;
  if (deadline)
    timers.insert({*deadline, job.sequence, &job});
}

}  // namespace wigeonstair::placement
