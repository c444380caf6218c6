#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_MESSAGES_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>

#include "net/message_channel.h"
#include "records/record_command.h"

namespace wigeonstair::records {

// Calls from an entry process to the control process of the same host. The
// body of kProposeMessage is an encoded RecordCommand, which the control
// process proposes unchanged to the group `records`. The body of kQueryMessage
// is an encoded RecordQuery, answered after a read barrier. Both are answered
// by an encoded RecordReply.
inline constexpr net::MessageType kProposeMessage = 200;
inline constexpr net::MessageType kQueryMessage = 201;

struct RecordQuery {
  RecordKey key;

  bool operator==(const RecordQuery&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key);
  }
};

enum class ReplyStatus : std::uint8_t {
  kCommitted,  // `answer` is the result of Apply.
  // The command is not in the log and never will be.
  kNotProposed,
  // The command may be committed now or later.
  kUncertain,
};

struct RecordReply {
  ReplyStatus status = ReplyStatus::kNotProposed;
  // A ClaimRefused also when the leader refused the command (kNotProposed).
  RecordAnswer answer;
  // Why there is no answer; empty when committed.
  std::string detail;

  bool operator==(const RecordReply&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, answer, detail);
  }
};

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_MESSAGES_H_
