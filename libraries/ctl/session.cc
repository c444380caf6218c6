#include "ctl/session.h"

#include <cstdio>
#include <random>
#include <utility>
#include <variant>

#include "ctl/answer_view.h"
#include "settings/json.h"
#include "tools/json_view.h"
#include "tools/percent_encoding.h"

namespace wigeonstair::ctl {

namespace {

using settings::Value;
using tools::ExitCode;

// A body that is not JSON, such as that of a proxy, becomes a text.
Value ParseBody(const std::string& body) {
  auto outcome = base::Capture(
      [&body] { return settings::ParseJson(body, "answer of the server"); });
  if (auto* value = std::get_if<Value>(&outcome))
    return std::move(*value);
  return Value::Text(body);
}

// Whether another server may answer better.
bool IsTemporary(const net::HttpResponse& response) {
  return response.status == 421 || response.status == 502 ||
         response.status == 503 || response.status == 504;
}

std::string NextStep(const OperatorCommand& command,
                     const std::string& operation,
                     int status,
                     const Value& body) {
  if (tools::BooleanOf(body, "taken_out_locally")) {
    return "the domain is out on its own side, because of --local, and the log "
           "does not have the change; repeat the command with --operation " +
           operation + " when there is a majority again";
  }
  switch (status) {
    case 401:
    case 403:
      return "give the operators' token with --token-file";
    case 404:
      return "check the id; 'job list', 'domains' and 'workers' print known "
             "ids, and an older server may not know this command";
    case 409:
      return "another change came first (operation " +
             tools::TextOf(body, "winner_operation", "unknown") +
             ", revision " + tools::TextOf(body, "revision", "unknown") +
             "); look at 'configuration show' or 'domains', decide again and "
             "use a new operation with --expected-revision " +
             tools::TextOf(body, "revision", "N");
    case 413:
      return "the input is too large for the server";
    case 422:
      return "change what the detail names and submit again under a new "
             "operation";
    case 504:
      if (command.effect == Effect::kChange) {
        return "the change may have been made; repeat the command with "
               "--operation " +
               operation + ", which cannot make it twice";
      }
      return "try again, or name other hosts with --server";
    case 421:
    case 503:
      return "try again, or name hosts of other failure domains with --server";
    default:
      return status >= 500 ? "look at the server's log for this time"
                           : "correct the input and try again";
  }
}

}  // namespace

std::string NewOperationId() {
  std::random_device device;
  char text[32];
  std::snprintf(text, sizeof(text), "op-%08x%08x", device(), device());
  return text;
}

void Session::Hint(const std::string& text) {
  *options_.messages << "next: " << text << "\n";
}

net::HttpCall Session::BuildCall(const OperatorCommand& command) const {
  net::HttpCall call;
  call.method = command.method;
  call.path = command.path;
  call.scheme = options_.scheme;
  call.timeout = options_.timeout;
  if (!options_.token.empty())
    call.headers["Authorization"] = "Bearer " + options_.token;
  if (command.effect == Effect::kRead)
    return call;
  if (!command.body) {
    call.path += "?operation=" + tools::PercentEncoded(options_.operation);
    return call;
  }
  Value body = *command.body;
  body.Add("operation", Value::Text(options_.operation));
  if (command.expected_revision != ExpectedRevision::kNotUsed) {
    body.Add("expected_revision", Value::Number(options_.expected_revision));
  }
  call.headers["Content-Type"] = "application/json";
  call.body = settings::EmitJson(body);
  return call;
}

Session::Attempt Session::TryServers(
    net::HttpCall call,
    const std::vector<std::string>& servers) const {
  Attempt attempt{
      .outcome = net::HttpNotSent{{.code = base::ErrorCode::kUnavailable,
                                   .step = call.method + " " + call.path,
                                   .peer = {},
                                   .detail = "no server address is given"}}};
  for (const std::string& server : servers) {
    call.address = server;
    attempt.outcome = options_.send(call);
    const auto* answer = std::get_if<net::HttpAnswer>(&attempt.outcome);
    if (answer != nullptr && !IsTemporary(answer->response))
      return attempt;
    if (!std::holds_alternative<net::HttpNotSent>(attempt.outcome))
      attempt.may_have_reached = true;
    if (answer == nullptr || answer->response.status != 421)
      continue;
    // The server names the one that can answer.
    call.address =
        tools::TextOf(ParseBody(answer->response.body), "authority", "");
    if (call.address.empty())
      continue;
    net::HttpOutcome redirected = options_.send(call);
    const auto* other = std::get_if<net::HttpAnswer>(&redirected);
    if (other != nullptr && !IsTemporary(other->response)) {
      attempt.outcome = std::move(redirected);
      return attempt;
    }
  }
  return attempt;
}

ExitCode Session::ReadRevision(const std::string& domain) {
  OperatorCommand read;
  read.path = "/v1/domains";
  const Attempt attempt = TryServers(BuildCall(read), options_.control_servers);
  const auto* answer = std::get_if<net::HttpAnswer>(&attempt.outcome);
  if (answer == nullptr)
    return Report(read, attempt);
  if (answer->response.status != 200)
    return ReportRefusal(read, answer->response);
  const Value body = ParseBody(answer->response.body);
  for (const Value& entry : tools::ItemsOf(body, "domains")) {
    if (tools::TextOf(entry, "domain") != domain)
      continue;
    options_.expected_revision = tools::NumberOf(entry, "revision");
    *options_.messages << "expected revision: " << options_.expected_revision
                       << " (the domain is "
                       << tools::TextOf(entry, "status", "unknown") << ")\n";
    return ExitCode::kOk;
  }
  *options_.messages << "wigeonstair-ctl: there is no failure domain '"
                     << domain << "'\n";
  Hint("'domains' prints the known ones");
  return ExitCode::kInvalidInput;
}

ExitCode Session::Run(const OperatorCommand& command) {
  if (command.expected_revision == ExpectedRevision::kReadFirst) {
    const ExitCode code = ReadRevision(command.domain);
    if (code != ExitCode::kOk)
      return code;
  }
  if (command.effect == Effect::kChange) {
    // Printed before the call, so that it is known when the answer is lost.
    *options_.messages << "operation: " << options_.operation << "\n"
                       << std::flush;
  }
  const bool entry = command.target == Target::kEntry;
  return Report(command, TryServers(BuildCall(command),
                                    entry ? options_.entry_servers
                                          : options_.control_servers));
}

ExitCode Session::Report(const OperatorCommand& command,
                         const Attempt& attempt) {
  if (const auto* answer = std::get_if<net::HttpAnswer>(&attempt.outcome))
    return ReportAnswer(command, answer->response);
  if (const auto* lost = std::get_if<net::HttpLost>(&attempt.outcome))
    return ReportUnreachable(command, lost->error, true);
  return ReportUnreachable(command,
                           std::get<net::HttpNotSent>(attempt.outcome).error,
                           attempt.may_have_reached);
}

ExitCode Session::ReportAnswer(const OperatorCommand& command,
                               const net::HttpResponse& response) {
  const ExitCode code = tools::ExitCodeOfStatus(response.status);
  if (code != ExitCode::kOk)
    return ReportRefusal(command, response);
  const Value body = ParseBody(response.body);
  if (options_.format == OutputFormat::kJson)
    *options_.output << settings::EmitJson(body) << "\n";
  else
    *options_.output << RenderAnswer(body);
  if (command.covers_one_domain && options_.format == OutputFormat::kTable) {
    Hint(
        "this is the failure domain of the first server that answered; give "
        "--server with a host of another domain to see that one");
  }
  const bool change_pending = command.effect == Effect::kChange &&
                              tools::TextOf(body, "state") == "pending";
  if (change_pending) {
    Hint(
        "the change is committed but not in force at the places named as "
        "missing; 'pending' shows when it is. A cut-off domain can be taken "
        "out by a call with --local to one of its hosts");
    return ExitCode::kPending;
  }
  const bool list_pending =
      command.lists_pending &&
      (!body.items.empty() || !tools::ItemsOf(body, "missing").empty());
  return list_pending ? ExitCode::kPending : ExitCode::kOk;
}

ExitCode Session::ReportRefusal(const OperatorCommand& command,
                                const net::HttpResponse& response) {
  const Value body = ParseBody(response.body);
  if (options_.format == OutputFormat::kJson)
    *options_.output << settings::EmitJson(body) << "\n";
  const Value& error = tools::ObjectOf(body, "error");
  *options_.messages << "wigeonstair-ctl: " << command.method << " "
                     << command.path << ": "
                     << tools::TextOf(error, "code", "error") << " (HTTP "
                     << response.status
                     << "): " << tools::TextOf(error, "detail", "no detail")
                     << "\n";
  Hint(NextStep(command, options_.operation, response.status, body));
  return tools::ExitCodeOfStatus(response.status);
}

ExitCode Session::ReportUnreachable(const OperatorCommand& command,
                                    const base::Error& error,
                                    bool may_have_reached) {
  *options_.messages << "wigeonstair-ctl: " << error.ToString() << "\n";
  if (options_.scheme == "http" && may_have_reached)
    Hint("if the server serves HTTPS, give its --trusted-certificate");
  if (command.effect == Effect::kChange && may_have_reached) {
    Hint("the change may have been made; repeat the command with --operation " +
         options_.operation + ", which cannot make it twice");
  } else {
    Hint(
        "nothing was changed; check the addresses given with --server, or "
        "name hosts of other failure domains");
  }
  return ExitCode::kUnreachable;
}

}  // namespace wigeonstair::ctl
