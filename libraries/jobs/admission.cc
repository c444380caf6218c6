#include "jobs/admission.h"

#include <algorithm>
#include <cctype>

namespace wigeonstair::jobs {

namespace {

constexpr std::size_t kJobIdLength = 16;
// Limits on the state that one call can add to the scheduler.
constexpr std::size_t kMaximumPayloadBytes = 4000;
constexpr std::size_t kMaximumSteps = 64;
constexpr std::uint32_t kMaximumTasks = 10'000;
constexpr std::uint32_t kMaximumOccurrences = 10'000;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isxdigit(static_cast<unsigned char>(c)) != 0;
         });
}

}  // namespace

std::variant<AdmittedCall, Reply> AdmitCall(const JobStore& store,
                                            const CallTarget& target) {
  const Configuration& configuration = store.configuration();
  if (configuration.version == 0)
    return Reply{.status = ReplyStatus::kNotConfigured,
                 .text = "no configuration has been accepted yet"};
  const auto match = configuration.Match(target.host, target.path);
  if (!match)
    return Reply{.status = ReplyStatus::kNoQueue,
                 .text = "no queue matches this host and path"};
  AdmittedCall admitted{.queue = match->queue};
  if (const Customer* customer =
          target.key.empty() ? nullptr : configuration.FindCustomer(target.key))
    admitted.customer = customer->id;
  if (admitted.customer.empty() && !match->queue->open_to_all)
    return Reply{.status = ReplyStatus::kUnauthorized,
                 .text = "the key is missing or belongs to no customer"};
  if (!match->rest.empty()) {
    if (!IsJobId(match->rest))
      return Reply{
          .status = ReplyStatus::kNoQueue,
          .text = "the job id in the path must have 16 hexadecimal digits"};
    admitted.job = base::JobId(std::string(match->rest));
  }
  return admitted;
}

std::optional<std::string> ValidateJobSpec(const JobSpec& spec) {
  if (spec.payload.size() > kMaximumPayloadBytes)
    return "the payload is longer than 4000 bytes";
  if (spec.steps.empty() || spec.steps.size() > kMaximumSteps)
    return "a job must have 1 to 64 steps";
  if (spec.repeat_count > kMaximumOccurrences)
    return "a job must have at most 10000 occurrences";
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    if (step.count == 0 || step.count > kMaximumTasks)
      return "step " + std::to_string(i) + " must have 1 to 10000 tasks";
    for (const std::uint32_t earlier : step.depends_on) {
      if (earlier >= i)
        return "step " + std::to_string(i) +
               " must depend on earlier steps only";
    }
  }
  return std::nullopt;
}

std::optional<std::string> ValidateWorker(const JobStore& store,
                                          const WorkerDescription& worker) {
  if (worker.phase == WorkerPhase::kReady &&
      store.HasDeregistered(worker.incarnation)) {
    return "the worker has deregistered and gets no tasks";
  }
  const Configuration& configuration = store.configuration();
  // Workers also report before the first configuration.
  if (configuration.version == 0 || configuration.UsesPool(worker.pool))
    return std::nullopt;
  for (const auto& [id, known] : store.workers()) {
    const bool replaced =
        id == worker.incarnation.id || known.address == worker.address;
    if (replaced && configuration.UsesPool(known.pool))
      return "no queue uses the pool '" + worker.pool +
             "', and the report would replace worker " + id.value();
  }
  return std::nullopt;
}

std::optional<WorkerIncarnation> FindLeaving(const JobStore& store,
                                             const WorkerLeftCall& call) {
  const auto known = store.workers().find(call.worker);
  std::optional<WorkerIncarnation> leaving;
  if (call.born) {
    leaving = {.id = call.worker, .born = *call.born};
  } else if (known != store.workers().end() &&
             known->second.phase == WorkerPhase::kDraining) {
    leaving = known->second.incarnation;
  }
  return leaving && !store.HasDeregistered(*leaving) ? leaving : std::nullopt;
}

bool Owns(const AdmittedCall& call, const JobRecord& job) {
  return job.queue == call.queue->name && job.customer == call.customer;
}

const JobRecord* VisibleJob(const JobStore& store, const AdmittedCall& call) {
  const JobRecord* job = store.FindJob(call.job);
  return job != nullptr && !job->IsPlaceholder() && Owns(call, *job) ? job
                                                                     : nullptr;
}

}  // namespace wigeonstair::jobs
