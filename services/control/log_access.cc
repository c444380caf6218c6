#include "services/control/log_access.h"

#include <utility>
#include <variant>

#include "cluster/cluster_codec.h"

namespace wigeonstair::control {

namespace {

CommandOutcome Convert(const consensus::ProposeOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return *error;
  return base::Capture(
      [&] { return cluster::DecodeReply(std::get<std::string>(outcome)); });
}

}  // namespace

LogAccess::LogAccess(consensus::ReplicaRuntime& replica,
                     net::EventLoop& loop,
                     base::Duration timeout)
    : replica_(replica), loop_(loop), timeout_(timeout) {}

void LogAccess::Propose(cluster::Command command,
                        std::function<void(CommandOutcome)> done) {
  replica_.Propose(
      cluster::EncodeCommand(command), timeout_,
      [this, done = std::move(done)](const consensus::ProposeOutcome& outcome) {
        // Callers may hold a lock that `done` takes; the replica may call back
        // before Propose() returns.
        loop_.Post([done, converted = Convert(outcome)] { done(converted); });
      });
}

void LogAccess::ReadBarrier(
    std::function<void(std::variant<std::monostate, base::Error>)> done) {
  replica_.ReadBarrier(timeout_, [this, done = std::move(done)](
                                     const consensus::ReadOutcome& outcome) {
    std::variant<std::monostate, base::Error> converted;
    if (const auto* error = std::get_if<base::Error>(&outcome))
      converted = *error;
    loop_.Post([done, converted] { done(converted); });
  });
}

}  // namespace wigeonstair::control
