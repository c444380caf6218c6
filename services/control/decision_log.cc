#include "services/control/decision_log.h"

#include <iterator>
#include <string>
#include <string_view>
#include <variant>

namespace wigeonstair::control {

namespace {

std::string_view DecisionName(const placement::Decision& decision) {
  static constexpr std::string_view kNames[] = {"prepare",
                                                "start_gang",
                                                "abort",
                                                "checkpoint",
                                                "stop",
                                                "throttle",
                                                "job_refused",
                                                "job_waiting",
                                                "job_ended",
                                                "job_released",
                                                "domain_drained",
                                                "worker_ejected",
                                                "worker_probation",
                                                "worker_readmitted",
                                                "migrate"};
  static_assert(std::size(kNames) == std::variant_size_v<placement::Decision>);
  return kNames[decision.index()];
}

// The task, job, worker or domain that a decision is about.
std::string SubjectOf(const placement::Decision& decision) {
  return std::visit(
      [](const auto& value) -> std::string {
        if constexpr (requires { value.place; }) {
          return value.place.task.job.value() + "/" +
                 std::to_string(value.place.task.index) + "@" +
                 value.place.worker.value();
        } else if constexpr (requires { value.job; }) {
          return value.job.value();
        } else if constexpr (requires { value.worker; }) {
          return value.worker.value();
        } else {
          return "domain";
        }
      },
      decision);
}

std::string RejectedText(const placement::Reason& reason) {
  std::string text;
  for (const placement::RejectedAlternative& rejected : reason.rejected) {
    text +=
        (text.empty() ? "" : "; ") + rejected.alternative + ": " + rejected.why;
  }
  return text;
}

}  // namespace

void LogDecision(const placement::Decision& decision,
                 std::int64_t epoch,
                 base::EventLog& log,
                 base::CounterRegistry& counters) {
  const placement::Reason& reason = placement::ReasonOf(decision);
  log.Info(base::EventNumber::kPlacementDecided,
           {{"decision", DecisionName(decision)},
            {"subject", SubjectOf(decision)},
            {"epoch", epoch},
            {"reason", placement::ReasonCodeName(reason.code)},
            {"text", reason.text},
            {"rejected", RejectedText(reason)}});
  counters
      .counter("wigeonstair_placement_decisions_total{decision=\"" +
               std::string(DecisionName(decision)) + "\"}")
      .Add();
}

}  // namespace wigeonstair::control
