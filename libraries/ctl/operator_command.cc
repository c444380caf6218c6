#include "ctl/operator_command.h"

#include <string_view>
#include <utility>
#include <vector>

#include "ctl/job_command.h"
#include "settings/cluster_configuration.h"
#include "tools/percent_encoding.h"

namespace wigeonstair::ctl {

namespace {

using settings::Value;
using tools::CommandLine;
using tools::Flag;
using tools::PercentEncoded;
using Words = std::vector<std::string>;

OperatorCommand Read(std::string path) {
  OperatorCommand command;
  command.path = std::move(path);
  return command;
}

OperatorCommand Change(std::string method, std::string path, Value body) {
  OperatorCommand command;
  command.method = std::move(method);
  command.path = std::move(path);
  command.body = std::move(body);
  command.effect = Effect::kChange;
  return command;
}

// Whether `words` begins with the words of `pattern` and has one argument for
// each "*" in it.
bool Matches(const Words& words, const std::vector<std::string_view>& pattern) {
  if (words.size() != pattern.size())
    return false;
  for (std::size_t i = 0; i < words.size(); ++i) {
    if (pattern[i] != "*" && pattern[i] != words[i])
      return false;
  }
  return true;
}

OperatorCommand SetDomainStatus(const CommandLine& line, const Words& words) {
  Value body = Value::Mapping();
  body.Add("status", Value::Text(words[1]));
  if (const auto drain = line.ValueOf("drain"))
    body.Add("drain", Value::Text(*drain));
  if (line.Has("local"))
    body.Add("local", Value::Boolean(true));
  OperatorCommand command =
      Change("POST", "/v1/domains/" + PercentEncoded(words[2]) + "/status",
             std::move(body));
  command.domain = words[2];
  // An operator at night must not have to look up a number first.
  command.expected_revision = line.Has("expected-revision")
                                  ? ExpectedRevision::kGiven
                                  : ExpectedRevision::kReadFirst;
  return command;
}

base::Result<OperatorCommand> ApplyConfiguration(const CommandLine& line,
                                                 const std::string& file) {
  if (!line.Has("expected-revision")) {
    return base::Fail(
        base::ErrorCode::kInvalidArgument, kUsageFault, "",
        "'configuration apply' needs --expected-revision; 'configuration "
        "show' prints the current one, and 0 stands for the first");
  }
  const auto configuration = TRY(settings::LoadClusterConfiguration(file));
  Value body = Value::Mapping();
  body.Add("configuration",
           settings::ClusterConfigurationToValue(configuration));
  OperatorCommand command = Change("PUT", "/v1/configuration", std::move(body));
  command.expected_revision = ExpectedRevision::kGiven;
  return command;
}

OperatorCommand ChangeMembers(const std::string& action,
                              const std::string& host) {
  return Change("POST", "/v1/members",
                Value::Mapping()
                    .Add("action", Value::Text(action))
                    .Add("host", Value::Text(host)));
}

base::Result<OperatorCommand> BuildChange(const CommandLine& line,
                                          const Words& words) {
  if (Matches(words, {"domain", "out", "*"}) ||
      Matches(words, {"domain", "in", "*"})) {
    return SetDomainStatus(line, words);
  }
  if (Matches(words, {"configuration", "apply", "*"}))
    return ApplyConfiguration(line, words[2]);
  if (Matches(words, {"members", "add", "*"}) ||
      Matches(words, {"members", "remove", "*"})) {
    return ChangeMembers(words[1], words[2]);
  }
  if (Matches(words, {"host", "stopped", "*"})) {
    return Change("POST", "/v1/hosts/" + PercentEncoded(words[2]) + "/stopped",
                  Value::Mapping());
  }
  if (Matches(words, {"job", "submit"}) ||
      Matches(words, {"job", "submit", "*"})) {
    Value body =
        TRY(BuildJob(line, words.size() == 3 ? words[2] : std::string()));
    return Change("POST", "/v1/jobs", std::move(body));
  }
  if (Matches(words, {"job", "cancel", "*"})) {
    OperatorCommand command =
        Change("DELETE", "/v1/jobs/" + PercentEncoded(words[2]), {});
    command.body.reset();
    return command;
  }
  std::string text;
  for (const std::string& word : words)
    text += (text.empty() ? "" : " ") + word;
  return base::Fail(
      base::ErrorCode::kInvalidArgument, kUsageFault, "",
      text.empty() ? "a command is missing" : "unknown command '" + text + "'");
}

std::string JobListPath(const CommandLine& line) {
  std::string path = "/v1/jobs";
  char separator = '?';
  for (const char* parameter : {"customer", "state"}) {
    if (const auto value = line.ValueOf(parameter)) {
      path += separator + std::string(parameter) + "=" + PercentEncoded(*value);
      separator = '&';
    }
  }
  return path;
}

std::optional<OperatorCommand> BuildRead(const CommandLine& line,
                                         const Words& words) {
  for (const char* name : {"status", "domains"}) {
    if (Matches(words, {name}))
      return Read("/v1/" + std::string(name));
  }
  for (const char* name : {"customers", "workers"}) {
    if (!Matches(words, {name}))
      continue;
    OperatorCommand command = Read("/v1/" + std::string(name));
    command.covers_one_domain = true;
    return command;
  }
  if (Matches(words, {"pending"})) {
    OperatorCommand command = Read("/v1/pending");
    command.lists_pending = true;
    return command;
  }
  if (Matches(words, {"configuration", "show"}))
    return Read("/v1/configuration");
  if (Matches(words, {"explain", "job", "*"}))
    return Read("/v1/jobs/" + PercentEncoded(words[2]) + "/explain");
  if (Matches(words, {"explain", "request", "*"})) {
    OperatorCommand command = Read("/v1/requests/" + PercentEncoded(words[2]));
    command.target = Target::kEntry;
    return command;
  }
  if (Matches(words, {"drain-preview", "*"}))
    return Read("/v1/domains/" + PercentEncoded(words[1]) + "/drain-preview");
  if (Matches(words, {"job", "show", "*"}))
    return Read("/v1/jobs/" + PercentEncoded(words[2]));
  if (Matches(words, {"job", "list"}))
    return Read(JobListPath(line));
  return std::nullopt;
}

}  // namespace

tools::ProgramDescription CtlDescription(std::string version) {
  std::vector<Flag> flags = {
      {.name = "server",
       .value_name = "IP:PORT",
       .help = "control process to ask; repeat it to try several in turn"},
      {.name = "entry",
       .value_name = "IP:PORT",
       .help = "entry process for 'explain request'; may be repeated"},
      {.name = "token-file",
       .value_name = "FILE",
       .help = "file with the operators' token"},
      {.name = "trusted-certificate",
       .value_name = "FILE",
       .help = "use TLS and trust this certificate"},
      {.name = "timeout-ms",
       .value_name = "N",
       .help = "time for one call, default 10000"},
      {.name = "json",
       .value_name = "",
       .help = "print the answer as JSON for programs"},
      {.name = "operation",
       .value_name = "ID",
       .help = "operation id of a change; repeat the same id to resend"},
      {.name = "expected-revision",
       .value_name = "N",
       .help = "refuse the change when another one came first"},
      {.name = "drain",
       .value_name = "WORD",
       .help = "with 'domain out': release (jobs may move, default) or hold "
               "(jobs wait for the domain's return)"},
      {.name = "local",
       .value_name = "",
       .help = "with 'domain out': take a cut-off domain out on the side of "
               "the server"}};
  const std::vector<Flag> job_flags = JobFlags();
  flags.insert(flags.end(), job_flags.begin(), job_flags.end());
  return {.name = "wigeonstair-ctl",
          .version = std::move(version),
          .summary = "Shows and changes a wigeonstair cluster.",
          .usage = {"[options] status | customers | workers | domains",
                    "[options] pending",
                    "[options] explain job ID | explain request ID",
                    "[options] drain-preview DOMAIN",
                    "[options] domain out DOMAIN | domain in DOMAIN",
                    "[options] configuration show | configuration apply FILE",
                    "[options] job submit [FILE] | job cancel ID",
                    "[options] job show ID | job list",
                    "[options] members add HOST | members remove HOST",
                    "[options] host stopped HOST"},
          .flags = std::move(flags),
          .notes =
              "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid input, 4 "
              "conflict,\n5 pending (not yet in force everywhere), 6 "
              "unreachable."};
}

base::Result<OperatorCommand> BuildCommand(const CommandLine& line) {
  const Words& words = line.positional();
  if (auto command = BuildRead(line, words))
    return std::move(*command);
  return BuildChange(line, words);
}

}  // namespace wigeonstair::ctl
