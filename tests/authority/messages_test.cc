#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "authority/messages.h"
#include "base/random.h"

namespace wigeonstair::authority {

namespace {

bool Decodes(net::MessageType type, const std::string& body) {
  const auto decoded = base::Capture([&] { return DecodeMessage(type, body); });
  return std::holds_alternative<Message>(decoded);
}

}  // namespace

// Guards against a field that the codec changes or loses, and against a message
// that does not fit into a datagram.
TEST_CASE("messages survive the codec within 1,200 bytes") {
  const base::HostId longest(std::string(kMaximumHostIdBytes, 'x'));
  const Message messages[] = {LeaseRequest{.sender = longest,
                                           .purpose = RequestPurpose::kRenew,
                                           .epoch = kMaximumEpoch,
                                           .round = 1,
                                           .list_version = 2,
                                           .retired_version = 3},
                              LeaseReply{.sender = longest,
                                         .purpose = RequestPurpose::kAcquire,
                                         .answer = LeaseAnswer::kOldList,
                                         .epoch = 1,
                                         .round = 2,
                                         .list_version = 3,
                                         .seen_epoch = 4,
                                         .holder = longest,
                                         .holder_epoch = 5},
                              LeaseRelease{.sender = longest, .epoch = 6}};
  for (const Message& message : messages) {
    const std::string body = EncodeMessage(message);
    CHECK(body.size() <= kMaximumMessageBytes);
    const auto decoded =
        base::Capture([&] { return DecodeMessage(TypeOf(message), body); });
    REQUIRE(std::holds_alternative<Message>(decoded));
    CHECK(std::get<Message>(decoded) == message);
  }
}

// Guards against a peer that crashes the process or exhausts the epochs.
TEST_CASE("malformed messages are refused") {
  const base::HostId host("linz-1");
  CHECK_FALSE(Decodes(kLeaseReleaseMessage, EncodeMessage(LeaseRelease{
                                                .sender = host, .epoch = -1})));
  CHECK_FALSE(Decodes(
      kLeaseReleaseMessage,
      EncodeMessage(LeaseRelease{.sender = host, .epoch = kMaximumEpoch + 1})));
  CHECK_FALSE(
      Decodes(kLeaseReleaseMessage, EncodeMessage(LeaseRelease{.epoch = 1})));
  CHECK_FALSE(
      Decodes(kLeaseRequestMessage,
              EncodeMessage(LeaseRequest{
                  .sender = host, .purpose = static_cast<RequestPurpose>(3)})));
  CHECK_FALSE(
      Decodes(kLeaseReplyMessage,
              EncodeMessage(LeaseReply{
                  .sender = host, .answer = static_cast<LeaseAnswer>(5)})));
  CHECK_FALSE(Decodes(449, EncodeMessage(LeaseRelease{.sender = host})));
  base::Random random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string body =
        EncodeMessage(LeaseReply{.sender = host, .holder = host});
    body[random.Below(body.size())] = static_cast<char>(random.Next());
    body.resize(random.Below(body.size() + 1));
    Decodes(static_cast<net::MessageType>(410 + random.Below(4)), body);
  }
}

}  // namespace wigeonstair::authority
