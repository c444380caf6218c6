#include "records/record_command.h"

namespace wigeonstair::records {

const char* UnknownReasonName(UnknownReason reason) {
  switch (reason) {
    case UnknownReason::kInProgress:
      return "in_progress";
    case UnknownReason::kOutcomeLost:
      return "outcome_lost";
    case UnknownReason::kAnswerNotKept:
      return "answer_not_kept";
    case UnknownReason::kIssuedTooLongAgo:
      return "issued_too_long_ago";
  }
  return "unknown";
}

const char* ClaimRefusalReasonName(ClaimRefusalReason reason) {
  switch (reason) {
    case ClaimRefusalReason::kTableFull:
      return "record_table_full";
    case ClaimRefusalReason::kAttemptCancelled:
      return "claim_cancelled";
    case ClaimRefusalReason::kIssuedInFuture:
      return "issued_in_future";
    case ClaimRefusalReason::kOtherFingerprint:
      return "key_used_for_another_request";
    case ClaimRefusalReason::kMalformedCommand:
      return "malformed_command";
    case ClaimRefusalReason::kClockDiffers:
      return "clock_differs";
  }
  return "unknown";
}

std::optional<std::string> ClockFault(const RecordCommand& command,
                                      std::int64_t leader_milliseconds) {
  const std::int64_t time = std::visit(
      [](const auto& one) { return one.time_milliseconds; }, command);
  constexpr std::int64_t kLimit = kMaximumClockDifferenceMilliseconds;
  // Compared without subtraction, which could overflow.
  const bool ahead = time > leader_milliseconds + kLimit;
  const bool behind = std::holds_alternative<Claim>(command) &&
                      time < leader_milliseconds - kLimit;
  if (!ahead && !behind)
    return std::nullopt;
  return "the clock of the proposing host is more than " +
         std::to_string(kLimit / 1000) + " s " +
         (ahead ? "ahead of" : "behind") +
         " that of the leader of the request records (" + std::to_string(time) +
         " against " + std::to_string(leader_milliseconds) +
         " ms since 1970); check the time synchronisation of both";
}

}  // namespace wigeonstair::records
