#include "consensus/runtime_frame.h"

#include <exception>
#include <utility>

#include "consensus/archive.h"

namespace wigeonstair::consensus {

namespace {

constexpr auto kLastErrorCode =
    static_cast<std::uint8_t>(base::ErrorCode::kInternal);

template <typename T>
std::string EncodeValue(const T& value) {
  std::string bytes;
  CompactOutputArchive archive(bytes);
  archive(value);
  return bytes;
}

template <typename T>
base::Result<T> DecodeValue(std::string_view bytes) {
  try {
    CompactInputArchive archive(bytes);
    T value;
    archive(value);
    if (archive.remaining() != 0)
      throw cereal::Exception("bytes are left over");
    return value;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kCorruptData, "decode", {},
                      error.what());
  }
}

}  // namespace

std::string Encode(const GroupFrame& frame) {
  return EncodeValue(frame);
}

std::string Encode(const ForwardReply& reply) {
  return EncodeValue(reply);
}

base::Result<GroupFrame> DecodeGroupFrame(std::string_view bytes) {
  return DecodeValue<GroupFrame>(bytes);
}

base::Result<ForwardReply> DecodeForwardReply(std::string_view bytes) {
  ForwardReply reply = TRY(DecodeValue<ForwardReply>(bytes));
  if (reply.status > kLastErrorCode + 1) {
    return base::Fail(base::ErrorCode::kCorruptData, "decode", {},
                      "status is out of range");
  }
  return reply;
}

ForwardReply ToReply(const LeaderOutcome& outcome) {
  if (const auto* error = std::get_if<base::Error>(&outcome)) {
    return {.status = static_cast<std::uint8_t>(
                static_cast<std::uint8_t>(error->code) + 1),
            .text = error->detail,
            .index = 0};
  }
  const auto& answer = std::get<LeaderAnswer>(outcome);
  return {.status = 0, .text = answer.text, .index = answer.index};
}

LeaderOutcome FromReply(ForwardReply reply) {
  if (reply.status == 0)
    return LeaderAnswer{.text = std::move(reply.text), .index = reply.index};
  return base::Error{.code = static_cast<base::ErrorCode>(reply.status - 1),
                     .step = "ask leader",
                     .peer = {},
                     .detail = std::move(reply.text)};
}

}  // namespace wigeonstair::consensus
