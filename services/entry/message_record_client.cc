#include "services/entry/message_record_client.h"

#include <utility>
#include <variant>

#include "base/result.h"
#include "records/codec.h"

namespace wigeonstair::entry {

namespace {

// Between two tries to report a result while the control process is away.
constexpr base::Duration kReportRetryDelay = std::chrono::milliseconds(200);

RecordClient::Reply Decode(const net::CallOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return *error;
  const std::string& body = std::get<std::string>(outcome);
  auto decoded = base::Capture([&] { return records::DecodeReply(body); });
  // A reply that cannot be read leaves open whether the command was committed;
  // its error is not kUnavailable.
  if (const auto* error = std::get_if<base::Error>(&decoded))
    return *error;
  return std::get<records::RecordReply>(std::move(decoded));
}

}  // namespace

void MessageRecordClient::Propose(records::RecordCommand command,
                                  base::Duration timeout,
                                  std::function<void(Reply)> done) {
  const bool claim = std::holds_alternative<records::Claim>(command);
  channel_.Call(
      records::kProposeMessage, records::Encode(command), timeout,
      [this, claim, done = std::move(done)](const net::CallOutcome& outcome) {
        Reply reply = Decode(outcome);
        const auto* error = std::get_if<base::Error>(&reply);
        const bool unavailable =
            error != nullptr && error->code == base::ErrorCode::kUnavailable;
        if (claim || !unavailable)
          return done(std::move(reply));
        // Reports are tried again at once by their owner.
        loop_.Schedule(kReportRetryDelay,
                       [done, reply = std::move(reply)]() mutable {
                         done(std::move(reply));
                       });
      });
}

void MessageRecordClient::Query(records::RecordQuery query,
                                base::Duration timeout,
                                std::function<void(Reply)> done) {
  channel_.Call(records::kQueryMessage, records::Encode(query), timeout,
                [done = std::move(done)](const net::CallOutcome& outcome) {
                  done(Decode(outcome));
                });
}

}  // namespace wigeonstair::entry
