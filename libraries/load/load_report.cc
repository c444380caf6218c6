#include "load/load_report.h"

#include <cstdio>
#include <utility>

#include "tools/table.h"

namespace wigeonstair::load {

namespace {

using settings::Value;

constexpr std::pair<const char*, double> kQuantiles[] = {{"p50", 0.5},
                                                         {"p90", 0.9},
                                                         {"p99", 0.99},
                                                         {"p999", 0.999},
                                                         {"max", 1.0}};

std::string Fixed(double number, const char* unit) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.3f%s", number, unit);
  return text;
}

std::string InMilliseconds(base::Duration duration) {
  return Fixed(static_cast<double>(duration.count()) / 1000.0, " ms");
}

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double AnsweredPerSecond(const LoadReport& report) {
  const double seconds = Seconds(report.elapsed);
  return seconds > 0 ? static_cast<double>(report.requests.answered) / seconds
                     : 0;
}

Value CountsToValue(const ResultCounts& counts) {
  return Value::Mapping()
      .Add("answered", Value::Number(counts.answered))
      .Add("crossed", Value::Number(counts.crossed))
      .Add("not_run", Value::Number(counts.not_run))
      .Add("unknown", Value::Number(counts.unknown))
      .Add("lost", Value::Number(counts.lost))
      .Add("total", Value::Number(counts.total()));
}

Value LatencyToValue(const LatencySummary& latency) {
  Value value = Value::Mapping();
  value.Add("mean", Value::Number(latency.Mean().count()));
  for (const auto& [name, fraction] : kQuantiles)
    value.Add(name, Value::Number(latency.Quantile(fraction).count()));
  return value;
}

std::string LatencyLine(const char* name, const LatencySummary& latency) {
  std::string text =
      std::string(name) + ": mean " + InMilliseconds(latency.Mean());
  for (const auto& [quantile, fraction] : kQuantiles) {
    text += ", ";
    text += quantile;
    text += " " + InMilliseconds(latency.Quantile(fraction));
  }
  return text + "\n";
}

std::vector<std::string> CountsRow(const char* name,
                                   const ResultCounts& counts) {
  return {name,
          std::to_string(counts.answered),
          std::to_string(counts.not_run),
          std::to_string(counts.unknown),
          std::to_string(counts.lost),
          std::to_string(counts.crossed),
          std::to_string(counts.total())};
}

}  // namespace

void ResultCounts::Add(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      ++answered;
      return;
    case AttemptResult::kCrossed:
      ++crossed;
      return;
    case AttemptResult::kNotRun:
      ++not_run;
      return;
    case AttemptResult::kUnknown:
      ++unknown;
      return;
    case AttemptResult::kLost:
      ++lost;
      return;
  }
}

bool LoadReport::IsTruthful() const {
  return attempts.crossed == 0 &&
         (!executions ||
          (executions->doubled == 0 && executions->false_not_run == 0 &&
           executions->false_answered == 0));
}

ExecutionCheck CheckExecutions(
    const std::map<std::string, KeyFate>& keys,
    const std::map<std::string, std::int64_t>& runs) {
  ExecutionCheck check;
  for (const auto& [key, fate] : keys) {
    const auto found = runs.find(key);
    const std::int64_t count = found == runs.end() ? 0 : found->second;
    check.executed_keys += count > 0 ? 1 : 0;
    check.doubled += count > 1 ? 1 : 0;
    check.false_not_run += fate == KeyFate::kNotRun && count > 0 ? 1 : 0;
    check.false_answered += fate == KeyFate::kAnswered && count == 0 ? 1 : 0;
  }
  return check;
}

std::string ReportText(const LoadReport& report) {
  tools::Table table(
      {"", "answered", "not run", "unknown", "lost", "crossed", "total"});
  table.Add(CountsRow("requests", report.requests));
  table.Add(CountsRow("attempts", report.attempts));
  std::string text = "rate: " + Fixed(report.wanted_rate, "/s wanted, ") +
                     Fixed(AnsweredPerSecond(report), "/s answered in ") +
                     Fixed(Seconds(report.elapsed), " s") + "\n" +
                     table.ToString();
  text += "HTTP statuses:";
  for (const auto& [status, count] : report.statuses)
    text += " " + std::to_string(status) + " x " + std::to_string(count);
  text += "\n" + LatencyLine("latency of answered requests", report.latency);
  text += LatencyLine("lateness of the load tool", report.send_delay);
  if (report.executions) {
    text += "executions: " + std::to_string(report.executions->executed_keys) +
            " keys ran, " + std::to_string(report.executions->doubled) +
            " more than once, " +
            std::to_string(report.executions->false_not_run) +
            " although not run was answered, " +
            std::to_string(report.executions->false_answered) +
            " answered without a run\n";
  }
  return text;
}

Value ReportJson(const LoadReport& report) {
  Value statuses = Value::Mapping();
  for (const auto& [status, count] : report.statuses)
    statuses.Add(std::to_string(status), Value::Number(count));
  Value value = Value::Mapping();
  value
      .Add("wanted_per_second",
           Value::Number(static_cast<std::int64_t>(report.wanted_rate)))
      .Add("answered_per_second",
           Value::Number(static_cast<std::int64_t>(AnsweredPerSecond(report))))
      .Add("elapsed_us", Value::Number(report.elapsed.count()))
      .Add("requests", CountsToValue(report.requests))
      .Add("attempts", CountsToValue(report.attempts))
      .Add("statuses", std::move(statuses))
      .Add("latency_us", LatencyToValue(report.latency))
      .Add("send_delay_us", LatencyToValue(report.send_delay))
      .Add("truthful", Value::Boolean(report.IsTruthful()));
  if (report.executions) {
    value.Add("executions",
              Value::Mapping()
                  .Add("executed_keys",
                       Value::Number(report.executions->executed_keys))
                  .Add("doubled", Value::Number(report.executions->doubled))
                  .Add("false_not_run",
                       Value::Number(report.executions->false_not_run))
                  .Add("false_answered",
                       Value::Number(report.executions->false_answered)));
  }
  return value;
}

}  // namespace wigeonstair::load
