#include "services/control/record_service.h"

#include <utility>
#include <variant>

#include "records/codec.h"

namespace wigeonstair::control {

namespace {

using records::RecordReply;
using records::ReplyStatus;

RecordReply Refusal(ReplyStatus status, std::string detail) {
  return RecordReply{.status = status, .detail = std::move(detail)};
}

ReplyStatus StatusOfError(const base::Error& error) {
  return error.code == base::ErrorCode::kUnavailable ? ReplyStatus::kNotProposed
                                                     : ReplyStatus::kUncertain;
}

RecordReply ReplyOf(const consensus::ProposeOutcome& outcome) {
  const auto* error = std::get_if<base::Error>(&outcome);
  if (error != nullptr && error->code == base::ErrorCode::kInvalidArgument) {
    return RecordReply{
        .status = ReplyStatus::kNotProposed,
        .answer =
            records::ClaimRefused{
                .reason = records::ClaimRefusalReason::kClockDiffers},
        .detail = error->detail};
  }
  if (error != nullptr)
    return Refusal(StatusOfError(*error), error->ToString());
  const auto answer = base::Capture(
      [&] { return records::DecodeAnswer(std::get<std::string>(outcome)); });
  if (const auto* malformed = std::get_if<base::Error>(&answer))
    return Refusal(ReplyStatus::kUncertain, malformed->ToString());
  return RecordReply{.status = ReplyStatus::kCommitted,
                     .answer = std::get<records::RecordAnswer>(answer)};
}

// Whether the peer's answer proves that the command is not in the log, and
// another peer may accept it.
bool WasNotProposed(const net::CallOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome))
    return error->code == base::ErrorCode::kUnavailable;
  const auto reply = base::Capture(
      [&] { return records::DecodeReply(std::get<std::string>(outcome)); });
  const auto* decoded = std::get_if<RecordReply>(&reply);
  return decoded != nullptr && decoded->status == ReplyStatus::kNotProposed &&
         !std::holds_alternative<records::ClaimRefused>(decoded->answer);
}

}  // namespace

std::optional<base::Error> CheckRecordTime(std::string_view command) {
  const auto decoded =
      base::Capture([&] { return records::DecodeCommand(command); });
  const auto* known = std::get_if<records::RecordCommand>(&decoded);
  const auto fault =
      known == nullptr
          ? std::optional<std::string>("the command cannot be read")
          : records::ClockFault(*known, base::WallClockNow().count());
  if (!fault)
    return std::nullopt;
  return base::Error{.code = base::ErrorCode::kInvalidArgument,
                     .step = "check time",
                     .peer = {},
                     .detail = *fault};
}

RecordService::RecordService(RecordServiceOptions options)
    : options_(std::move(options)) {}

void RecordService::Handle(net::MessageType type,
                           std::string body,
                           net::MessageReply reply) {
  if (options_.replica == nullptr)
    return Forward(type, std::move(body), 0, std::move(reply));
  if (type == records::kProposeMessage)
    return Propose(body, std::move(reply));
  if (type == records::kQueryMessage)
    return Query(body, std::move(reply));
  reply(records::Encode(
      Refusal(ReplyStatus::kNotProposed, "unknown message type")));
}

void RecordService::Propose(const std::string& body, net::MessageReply reply) {
  // Bytes that are no command must not reach the log.
  const auto command =
      base::Capture([&] { return records::DecodeCommand(body); });
  if (const auto* error = std::get_if<base::Error>(&command)) {
    return reply(
        records::Encode(Refusal(ReplyStatus::kNotProposed, error->ToString())));
  }
  // A caller waits for a claim; the report of a result must not be lost to an
  // election.
  const bool claim = std::holds_alternative<records::Claim>(
      std::get<records::RecordCommand>(command));
  options_.replica->Propose(
      body, options_.timeout,
      [reply = std::move(reply)](const consensus::ProposeOutcome& outcome) {
        reply(records::Encode(ReplyOf(outcome)));
      },
      claim ? consensus::WithoutLeader::kRefuse
            : consensus::WithoutLeader::kWait);
}

void RecordService::Query(const std::string& body, net::MessageReply reply) {
  const auto query = base::Capture([&] { return records::DecodeQuery(body); });
  if (const auto* error = std::get_if<base::Error>(&query)) {
    return reply(
        records::Encode(Refusal(ReplyStatus::kNotProposed, error->ToString())));
  }
  options_.replica->ReadBarrier(
      options_.timeout,
      [this, key = std::get<records::RecordQuery>(query).key,
       reply = std::move(reply)](const consensus::ReadOutcome& outcome) {
        if (const auto* error = std::get_if<base::Error>(&outcome)) {
          return reply(records::Encode(
              Refusal(StatusOfError(*error), error->ToString())));
        }
        reply(records::Encode(
            RecordReply{.status = ReplyStatus::kCommitted,
                        .answer = options_.records->Query(key)}));
      });
}

void RecordService::Forward(net::MessageType type,
                            std::string body,
                            std::size_t position,
                            net::MessageReply reply) {
  if (position >= options_.replica_hosts.size()) {
    return reply(records::Encode(
        Refusal(ReplyStatus::kNotProposed,
                "no host with a replica of the request records answers")));
  }
  const std::shared_ptr<net::MessageChannel> channel =
      options_.channels->Open(options_.replica_hosts[position]);
  if (channel == nullptr)
    return Forward(type, std::move(body), position + 1, std::move(reply));
  channel->Call(type, body, options_.timeout,
                [this, type, body, position,
                 reply = std::move(reply)](const net::CallOutcome& outcome) {
                  if (WasNotProposed(outcome))
                    return Forward(type, body, position + 1, reply);
                  if (const auto* error = std::get_if<base::Error>(&outcome)) {
                    return reply(records::Encode(
                        Refusal(ReplyStatus::kUncertain, error->ToString())));
                  }
                  reply(std::get<std::string>(outcome));
                });
}

}  // namespace wigeonstair::control
