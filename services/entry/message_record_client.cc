#include "services/entry/message_record_client.h"

#include <utility>
#include <variant>

#include "base/result.h"
#include "records/codec.h"

namespace wigeonstair::entry {

namespace {

// Delay between attempts to report a result while the control process is
// unavailable.
constexpr base::Duration kReportRetryDelay = std::chrono::milliseconds(200);

RecordClient::Reply Decode(const net::CallOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return *error;
  const std::string& body = std::get<std::string>(outcome);
  auto decoded = base::Capture([&] { return records::DecodeReply(body); });
  // After a malformed reply it is unknown whether the command was committed, so
  // the error is not kUnavailable.
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
        // The caller retries a failed report immediately; delaying the error
        // limits the rate of retries.
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
