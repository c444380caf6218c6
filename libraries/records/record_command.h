#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_COMMAND_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_COMMAND_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "base/strong_id.h"

namespace wigeonstair::records {

// Names one non-idempotent request of a customer. Customers choose keys
// independently, so the same key of two customers is two requests.
struct RecordKey {
  base::CustomerId customer;
  std::string key;

  bool operator==(const RecordKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(customer, key);
  }
};

// One try of one entry host to send a request. The number is unique per host,
// also across restarts, and is never used for a second claim.
struct ClaimAttempt {
  base::HostId host;
  std::uint64_t number = 0;

  bool operator==(const ClaimAttempt&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, number);
  }
};

// An upstream's answer as kept for resends.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  base::UpstreamId upstream;

  bool operator==(const StoredAnswer&) const = default;

  std::size_t Bytes() const {
    return content_type.size() + body.size() + upstream.value().size();
  }

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, content_type, body, upstream);
  }
};

// Asks for the right to send the request once.
struct Claim {
  RecordKey key;
  // Hash of service, method, path, query, content type and body. The same key
  // with another fingerprint is a mistake of the caller.
  std::uint64_t fingerprint = 0;
  ClaimAttempt attempt;
  // Unix time of the proposer.
  std::int64_t time_milliseconds = 0;
  // Unix time that the caller set on the first send.
  std::int64_t issued_milliseconds = 0;

  bool operator==(const Claim&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key, fingerprint, attempt, time_milliseconds, issued_milliseconds);
  }
};

// The claimer got the whole answer of the upstream.
struct Complete {
  RecordKey key;
  ClaimAttempt attempt;
  std::int64_t time_milliseconds = 0;
  StoredAnswer answer;

  bool operator==(const Complete&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key, attempt, time_milliseconds, answer);
  }
};

// The claimer has provably sent nothing and never will under this attempt. It
// also cancels a claim of the attempt that is committed later.
struct MarkNotRun {
  RecordKey key;
  ClaimAttempt attempt;
  std::int64_t time_milliseconds = 0;

  bool operator==(const MarkNotRun&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key, attempt, time_milliseconds);
  }
};

// The claimer sent the request and does not know whether it ran.
struct MarkUnknown {
  RecordKey key;
  ClaimAttempt attempt;
  std::int64_t time_milliseconds = 0;

  bool operator==(const MarkUnknown&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key, attempt, time_milliseconds);
  }
};

// Retention and bounds. They travel through the log, because replicas with
// different bounds would diverge.
struct RecordLimits {
  std::int64_t retention_milliseconds = std::int64_t{30} * 60 * 1000;
  std::uint64_t maximum_records = 200'000;
  std::uint64_t maximum_answer_bytes = std::uint64_t{16} * 1024;
  std::uint64_t maximum_total_answer_bytes = std::uint64_t{64} * 1024 * 1024;

  bool operator==(const RecordLimits&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(retention_milliseconds, maximum_records, maximum_answer_bytes,
            maximum_total_answer_bytes);
  }
};

struct SetLimits {
  RecordLimits limits;
  std::int64_t time_milliseconds = 0;

  bool operator==(const SetLimits&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(limits, time_milliseconds);
  }
};

using RecordCommand =
    std::variant<Claim, Complete, MarkNotRun, MarkUnknown, SetLimits>;

// The largest difference between the time of a command and the leader's clock.
// It is as long as a caller's clock may be ahead, and twice as long as a claim
// may wait for a leader.
inline constexpr std::int64_t kMaximumClockDifferenceMilliseconds = 10'000;

// What is wrong with the time of a command that arrives at the leader when its
// clock shows `leader_milliseconds`, or nothing. A command from the future
// would expire the records of all hosts early, because the time of the table is
// the highest one it has seen. Of reports only that is refused: they may be
// late, and an old time changes nothing.
std::optional<std::string> ClockFault(const RecordCommand& command,
                                      std::int64_t leader_milliseconds);

// The claimer may send the request, once, within its claim validity.
struct ClaimGranted {
  bool operator==(const ClaimGranted&) const = default;
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: cereal's name.
};

// The request ran before; this is its answer.
struct AlreadyAnswered {
  StoredAnswer answer;
  bool operator==(const AlreadyAnswered&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(answer);
  }
};

enum class UnknownReason : std::uint8_t {
  kInProgress,     // Claimed; the outcome may still arrive.
  kOutcomeLost,    // The claimer reported that it does not know.
  kAnswerNotKept,  // It ran, but the stored answer was dropped.
  kIssuedTooLongAgo,
};

// The request may have run and must not be sent.
struct OutcomeUnknown {
  UnknownReason reason = UnknownReason::kInProgress;
  bool operator==(const OutcomeUnknown&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(reason);
  }
};

enum class ClaimRefusalReason : std::uint8_t {
  kTableFull,
  kAttemptCancelled,  // Marked as not run before the claim was committed.
  kIssuedInFuture,    // Invalid: more than 10 s ahead.
  kOtherFingerprint,  // The key belongs to another request.
  kMalformedCommand,  // The command could not be decoded.
  kClockDiffers,      // Refused by the leader and not in the log.
};

// This claim was not granted and the request must not be sent under it.
struct ClaimRefused {
  ClaimRefusalReason reason = ClaimRefusalReason::kTableFull;
  bool operator==(const ClaimRefused&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(reason);
  }
};

enum class MarkEffect : std::uint8_t { kApplied, kIgnored };

// The effect of Complete, MarkNotRun, MarkUnknown and SetLimits.
struct Marked {
  MarkEffect effect = MarkEffect::kApplied;
  bool operator==(const Marked&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(effect);
  }
};

// The answer to a query when no record exists or it is marked as not run.
struct NotRecorded {
  bool operator==(const NotRecorded&) const = default;
  template <typename Archive>
  void serialize(Archive&) {}  // NOLINT: cereal's name.
};

using RecordAnswer = std::variant<ClaimGranted,
                                  AlreadyAnswered,
                                  OutcomeUnknown,
                                  ClaimRefused,
                                  Marked,
                                  NotRecorded>;

// Short lower-case names for logs and the Wigeonstair-Reason header.
const char* UnknownReasonName(UnknownReason reason);
const char* ClaimRefusalReasonName(ClaimRefusalReason reason);

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_COMMAND_H_
