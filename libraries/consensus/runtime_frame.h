#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_RUNTIME_FRAME_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_RUNTIME_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"
#include "base/result.h"
#include "net/message_channel.h"

namespace wigeonstair::consensus {

// The message types of this library.
// A one-way replica message; the body is an encoded Message.
constexpr net::MessageType kReplicaMessage = 100;
// Calls to the leader, answered with an encoded ForwardReply. Bodies: a
// command, nothing, an encoded MemberChange.
constexpr net::MessageType kForwardPropose = 101;
constexpr net::MessageType kForwardRead = 102;
constexpr net::MessageType kForwardChange = 103;

// A body with the name of its group in front.
struct GroupFrame {
  std::string group;
  std::string body;

  bool operator==(const GroupFrame&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(group, body);
  }
};

// The leader's answer to a forwarded call.
struct ForwardReply {
  // 0 for success, otherwise an ErrorCode plus 1.
  std::uint8_t status = 0;
  // The result bytes, or the error's detail.
  std::string text;
  // The read index of a kForwardRead.
  std::uint64_t index = 0;

  bool operator==(const ForwardReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, text, index);
  }
};

// What a request to the leader comes to: result bytes and, for reads, an index.
struct LeaderAnswer {
  std::string text;
  std::uint64_t index = 0;
};
using LeaderOutcome = std::variant<LeaderAnswer, base::Error>;

std::string Encode(const GroupFrame& frame);
std::string Encode(const ForwardReply& reply);
// Both accept any bytes and fail with kCorruptData.
base::Result<GroupFrame> DecodeGroupFrame(std::string_view bytes);
base::Result<ForwardReply> DecodeForwardReply(std::string_view bytes);

ForwardReply ToReply(const LeaderOutcome& outcome);
LeaderOutcome FromReply(ForwardReply reply);

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_RUNTIME_FRAME_H_
