#include "authority/messages.h"

#include "net/codec.h"

namespace wigeonstair::authority {

namespace {

bool IsEpoch(std::int64_t epoch) {
  return epoch >= 0 && epoch <= kMaximumEpoch;
}

bool IsSender(const base::HostId& host) {
  return !host.empty() && host.value().size() <= kMaximumHostIdBytes;
}

bool IsValid(const LeaseRequest& request) {
  return IsSender(request.sender) && IsEpoch(request.epoch) &&
         request.purpose <= RequestPurpose::kRenew;
}

bool IsValid(const LeaseReply& reply) {
  return IsSender(reply.sender) && IsEpoch(reply.epoch) &&
         IsEpoch(reply.seen_epoch) && IsEpoch(reply.holder_epoch) &&
         reply.holder.value().size() <= kMaximumHostIdBytes &&
         reply.purpose <= RequestPurpose::kRenew &&
         reply.answer <= LeaseAnswer::kWaiting;
}

bool IsValid(const LeaseRelease& release) {
  return IsSender(release.sender) && IsEpoch(release.epoch);
}

template <typename Body>
base::Result<Message> DecodeBody(std::string_view body) {
  const Body message = TRY(net::Decode<Body>(body));
  if (!IsValid(message)) {
    return base::Fail(base::ErrorCode::kCorruptData, "decode lease message", {},
                      "field value out of range");
  }
  return Message(message);
}

}  // namespace

net::MessageType TypeOf(const Message& message) {
  constexpr net::MessageType kTypes[] = {
      kLeaseRequestMessage, kLeaseReplyMessage, kLeaseReleaseMessage};
  return kTypes[message.index()];
}

const base::HostId& SenderOf(const Message& message) {
  return std::visit(
      [](const auto& body) -> const base::HostId& { return body.sender; },
      message);
}

std::string EncodeMessage(const Message& message) {
  return std::visit([](const auto& body) { return net::Encode(body); },
                    message);
}

base::Result<Message> DecodeMessage(net::MessageType type,
                                    std::string_view body) {
  if (body.size() > kMaximumMessageBytes) {
    return base::Fail(
        base::ErrorCode::kCorruptData, "decode lease message", {},
        std::to_string(body.size()) + " bytes exceed the maximum message size");
  }
  switch (type) {
    case kLeaseRequestMessage:
      return DecodeBody<LeaseRequest>(body);
    case kLeaseReplyMessage:
      return DecodeBody<LeaseReply>(body);
    case kLeaseReleaseMessage:
      return DecodeBody<LeaseRelease>(body);
    default:
      return base::Fail(base::ErrorCode::kCorruptData, "decode lease message",
                        {}, "unknown type " + std::to_string(type));
  }
}

}  // namespace wigeonstair::authority
