#include "standin/upstream_model.h"

#include <utility>

#include "settings/json.h"

namespace wigeonstair::standin {

using settings::Value;

std::optional<UpstreamFault> ParseUpstreamFault(std::string_view name) {
  constexpr std::pair<std::string_view, UpstreamFault> kNames[] = {
      {"none", UpstreamFault::kNone},
      {"slow", UpstreamFault::kSlow},
      {"hang", UpstreamFault::kHang},
      {"truncated", UpstreamFault::kTruncated},
      {"crossed", UpstreamFault::kCrossed},
      {"fail", UpstreamFault::kFailEverything},
      {"leave", UpstreamFault::kLeave},
      {"die", UpstreamFault::kDie}};
  for (const auto& [known, fault] : kNames) {
    if (known == name)
      return fault;
  }
  return std::nullopt;
}

void ExecutionTable::Add(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++total_;
  if (!key.empty())
    ++counts_[key];
}

Value ExecutionTable::ToValue(std::int64_t minimum) const {
  const std::lock_guard lock(mutex_);
  Value executions = Value::Mapping();
  std::int64_t repeated = 0;
  for (const auto& [key, count] : counts_) {
    if (count > 1)
      ++repeated;
    if (count >= minimum)
      executions.Add(key, Value::Number(count));
  }
  return Value::Mapping()
      .Add("total", Value::Number(total_))
      .Add("keys", Value::Number(static_cast<std::int64_t>(counts_.size())))
      .Add("repeated", Value::Number(repeated))
      .Add("executions", std::move(executions));
}

std::string EchoBody(const std::string& upstream,
                     std::string_view method,
                     std::string_view target,
                     std::string_view body) {
  return settings::EmitJson(Value::Mapping()
                                .Add("upstream", Value::Text(upstream))
                                .Add("method", Value::Text(std::string(method)))
                                .Add("target", Value::Text(std::string(target)))
                                .Add("body", Value::Text(std::string(body))));
}

}  // namespace wigeonstair::standin
