#ifndef WIGEONSTAIR_LIBRARIES_CTL_SESSION_H_
#define WIGEONSTAIR_LIBRARIES_CTL_SESSION_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "ctl/operator_command.h"
#include "net/http.h"
#include "net/http_client.h"
#include "tools/exit_code.h"

namespace wigeonstair::ctl {

enum class OutputFormat : std::uint8_t { kTable, kJson };

struct SessionOptions {
  // Tried in turn until one answers.
  std::vector<std::string> control_servers;
  std::vector<std::string> entry_servers;
  std::string scheme = "http";
  std::string token;
  base::Duration timeout = std::chrono::seconds(10);
  OutputFormat format = OutputFormat::kTable;
  // Sent with a change; a resend repeats it.
  std::string operation;
  std::int64_t expected_revision = 0;
  // Sends one call and waits for its outcome.
  std::function<net::HttpOutcome(net::HttpCall)> send;
  // Answers go to `output`; operation ids, errors and hints to `messages`.
  std::ostream* output = nullptr;
  std::ostream* messages = nullptr;
};

// Runs one command against the servers and prints the result. A change is sent
// to the next server only with the same operation id, so it happens once.
class Session {
 public:
  explicit Session(SessionOptions options) : options_(std::move(options)) {}

  tools::ExitCode Run(const OperatorCommand& command);

 private:
  // The last thing that happened to a call.
  struct Attempt {
    net::HttpOutcome outcome;
    // Some earlier or this attempt may have reached a server.
    bool may_have_reached = false;
  };

  net::HttpCall BuildCall(const OperatorCommand& command) const;
  Attempt TryServers(net::HttpCall call,
                     const std::vector<std::string>& servers) const;
  // Reads the revision of a domain's status. Returns an exit code other than
  // kOk and prints why when that fails.
  tools::ExitCode ReadRevision(const std::string& domain);
  tools::ExitCode Report(const OperatorCommand& command,
                         const Attempt& attempt);
  tools::ExitCode ReportAnswer(const OperatorCommand& command,
                               const net::HttpResponse& response);
  tools::ExitCode ReportRefusal(const OperatorCommand& command,
                                const net::HttpResponse& response);
  tools::ExitCode ReportUnreachable(const OperatorCommand& command,
                                    const base::Error& error,
                                    bool may_have_reached);
  void Hint(const std::string& text);

  SessionOptions options_;
};

// A new id such as "op-5f3a0c9d1e2b4a67" from the system's random device.
std::string NewOperationId();

}  // namespace wigeonstair::ctl

#endif  // WIGEONSTAIR_LIBRARIES_CTL_SESSION_H_
