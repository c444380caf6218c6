#include "load/load_plan.h"

#include <string_view>
#include <variant>

#include "base/random.h"

namespace wigeonstair::load {

namespace {

// The multiplier spreads neighbouring numbers over the seeds.
base::Random RandomOf(const LoadOptions& options, std::int64_t number) {
  constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15;
  return base::Random(options.seed +
                      kSpread * (static_cast<std::uint64_t>(number) + 1));
}

std::string Body(const LoadOptions& options, const PlannedRequest& request) {
  std::string body = request.token;
  if (body.size() < options.body_bytes)
    body.append(options.body_bytes - body.size(), '.');
  return body;
}

// The token between characters that no token has, so that the token of
// request 1 is not found in that of request 12.
bool HasToken(std::string_view body, const std::string& token) {
  const auto position = body.find(token);
  if (position == std::string_view::npos)
    return false;
  const std::size_t end = position + token.size();
  return end < body.size() && (body[end] == '.' || body[end] == '"');
}

AttemptResult ClassifyUpstream(const net::HttpResponse& response,
                               const PlannedRequest& request) {
  if (!net::HeaderValue(response.headers, "Wigeonstair-Not-Run").empty())
    return AttemptResult::kNotRun;
  return HasToken(response.body, request.token) ? AttemptResult::kAnswered
                                                : AttemptResult::kCrossed;
}

}  // namespace

PlannedRequest Plan(const LoadOptions& options,
                    std::int64_t number,
                    base::Instant start,
                    std::chrono::milliseconds issued) {
  base::Random random = RandomOf(options, number);
  const bool idempotent =
      static_cast<int>(random.Below(100)) >= options.non_idempotent_percent;
  const std::size_t customer = random.Below(options.customers.size());
  const auto offset =
      std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(
          static_cast<double>(number) / options.rate));
  return {.number = number,
          .idempotent = idempotent,
          .token = "load-" + std::to_string(options.seed) + "-" +
                   std::to_string(number),
          .customer = options.customers[customer],
          .issued = issued,
          .intended = start + offset};
}

net::HttpCall BuildCall(const LoadOptions& options,
                        const PlannedRequest& request,
                        int attempt) {
  const auto server = static_cast<std::size_t>(request.number + attempt) %
                      options.servers.size();
  net::HttpCall call;
  call.address = options.servers[server];
  call.scheme = options.scheme;
  const bool entry = options.destination == Destination::kEntry;
  call.path = entry ? "/v1/services/" + options.service : std::string();
  call.path += "/load?token=" + request.token + ".";
  // The answer may come at the deadline and still has to travel.
  call.timeout = options.deadline + std::chrono::seconds(1);
  call.headers["Wigeonstair-Customer"] = request.customer;
  call.headers["Wigeonstair-Deadline-Ms"] = std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline)
          .count());
  if (!entry)
    call.headers["Wigeonstair-Request-Id"] = request.token;
  if (request.idempotent)
    return call;
  call.method = "POST";
  call.body = Body(options, request);
  call.headers["Content-Type"] = "text/plain";
  call.headers["Request-Key"] = request.token;
  call.headers["Request-Issued"] = std::to_string(request.issued.count());
  return call;
}

AttemptResult Classify(const LoadOptions& options,
                       const PlannedRequest& request,
                       const net::HttpOutcome& outcome) {
  if (std::holds_alternative<net::HttpNotSent>(outcome))
    return AttemptResult::kNotRun;
  const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
  if (answer == nullptr)
    return AttemptResult::kLost;
  const net::HttpResponse& response = answer->response;
  if (options.destination == Destination::kUpstream)
    return ClassifyUpstream(response, request);
  const std::string_view stated =
      net::HeaderValue(response.headers, "Wigeonstair-Outcome");
  if (stated == "not-run")
    return AttemptResult::kNotRun;
  if (stated != "answered")
    return AttemptResult::kUnknown;
  return HasToken(response.body, request.token) ? AttemptResult::kAnswered
                                                : AttemptResult::kCrossed;
}

}  // namespace wigeonstair::load
