#ifndef WIGEONSTAIR_LIBRARIES_LOAD_LOAD_REPORT_H_
#define WIGEONSTAIR_LIBRARIES_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "load/latency_summary.h"
#include "load/load_plan.h"
#include "settings/value.h"

namespace wigeonstair::load {

struct ResultCounts {
  std::int64_t answered = 0;
  std::int64_t crossed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t lost = 0;

  void Add(AttemptResult result);
  std::int64_t total() const {
    return answered + crossed + not_run + unknown + lost;
  }
  auto operator<=>(const ResultCounts&) const = default;
};

// How the executions that upstreams counted agree with the answers.
struct ExecutionCheck {
  std::int64_t executed_keys = 0;
  // Keys that ran more than once.
  std::int64_t doubled = 0;
  // Keys that ran although every attempt was answered "not run".
  std::int64_t false_not_run = 0;
  // Keys that did not run although an attempt was answered.
  std::int64_t false_answered = 0;

  auto operator<=>(const ExecutionCheck&) const = default;
};

// What is known of a non-idempotent request after its last attempt.
enum class KeyFate : std::uint8_t { kAnswered, kNotRun, kUnclear };

struct LoadReport {
  double wanted_rate = 0;
  base::Duration elapsed{0};
  // Last result of each request, and results of all attempts.
  ResultCounts requests;
  ResultCounts attempts;
  std::map<int, std::int64_t> statuses;
  // Of answered requests, from the intended time of the first attempt.
  LatencySummary latency;
  // How late the tool itself sent first attempts.
  LatencySummary send_delay;
  std::map<std::string, KeyFate> keys;
  std::optional<ExecutionCheck> executions;

  // Whether no answer was crossed and the executions agree.
  bool IsTruthful() const;
};

// Compares the fates of keys with the number of times that each key ran.
ExecutionCheck CheckExecutions(const std::map<std::string, KeyFate>& keys,
                               const std::map<std::string, std::int64_t>& runs);

std::string ReportText(const LoadReport& report);
settings::Value ReportJson(const LoadReport& report);

}  // namespace wigeonstair::load

#endif  // WIGEONSTAIR_LIBRARIES_LOAD_LOAD_REPORT_H_
