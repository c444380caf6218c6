#include "services/entry/trace_json.h"

#include <cpprest/json.h>

#include <cstddef>
#include <vector>

namespace wigeonstair::entry {

namespace {

using web::json::value;

value ToJson(const routing::TracedDecision& decision) {
  value converted = value::object(true);
  converted["after_ms"] = value::number(decision.after_milliseconds);
  converted["step"] = value::string(decision.step);
  converted["reason"] = value::string(decision.reason);
  converted["target"] = value::string(decision.target);
  std::vector<value> rejected;
  for (const auto& rejection : decision.rejected) {
    value one = value::object(true);
    one["upstream"] = value::string(rejection.upstream);
    one["reason"] = value::string(rejection.reason);
    rejected.push_back(std::move(one));
  }
  converted["rejected"] = value::array(std::move(rejected));
  return converted;
}

}  // namespace

std::string TraceJson(const routing::RequestTrace& trace) {
  value converted = value::object(true);
  converted["id"] = value::string(trace.id);
  converted["customer"] = value::string(trace.customer);
  converted["service"] = value::string(trace.service);
  converted["outcome"] = value::string(trace.outcome);
  std::vector<value> decisions;
  decisions.reserve(trace.decisions.size());
  for (const routing::TracedDecision& decision : trace.decisions)
    decisions.push_back(ToJson(decision));
  converted["decisions"] = value::array(std::move(decisions));
  return converted.serialize();
}

}  // namespace wigeonstair::entry
