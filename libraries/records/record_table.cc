#include "records/record_table.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <variant>

#include "records/codec.h"

namespace wigeonstair::records {

namespace {

std::size_t HashOf(std::string_view customer, std::string_view key) {
  constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  return std::hash<std::string_view>()(key) * kMultiplier +
         std::hash<std::string_view>()(customer);
}

}  // namespace

RecordTable::RecordTable(RecordTableOptions options)
    : fault_(options.fault), limits_(options.limits) {}

RecordAnswer RecordTable::Apply(const RecordCommand& command) {
  return std::visit(
      [this](const auto& one) {
        AdvanceTo(one.time_milliseconds);
        return ApplyOne(one);
      },
      command);
}

std::string RecordTable::ApplyEncoded(std::string_view command) {
  const auto decoded = base::Capture([&] { return DecodeCommand(command); });
  if (const auto* known = std::get_if<RecordCommand>(&decoded))
    return Encode(Apply(*known));
  return Encode(RecordAnswer(
      ClaimRefused{.reason = ClaimRefusalReason::kMalformedCommand}));
}

RecordAnswer RecordTable::Query(const RecordKey& key) const {
  const std::optional<Sequence> found = FindSequence(key);
  if (!found)
    return NotRecorded{};
  return Describe(records_[*found - first_sequence_]);
}

RecordAnswer RecordTable::Describe(const Record& record) const {
  switch (record.state) {
    case State::kClaimed:
      return OutcomeUnknown{.reason = UnknownReason::kInProgress};
    case State::kUnknown:
      return OutcomeUnknown{.reason = UnknownReason::kOutcomeLost};
    case State::kAnswered:
      if (record.kept == AnswerKept::kYes)
        return AlreadyAnswered{.answer = ToStored(record.answer)};
      return OutcomeUnknown{.reason = UnknownReason::kAnswerNotKept};
    case State::kNotRun:
      break;
  }
  return NotRecorded{};
}

RecordAnswer RecordTable::ApplyOne(const Claim& claim) {
  if (Record* known = Find(claim.key))
    return ClaimExisting(claim, *known);
  if (IssuedTooLongAgo(claim))
    return OutcomeUnknown{.reason = UnknownReason::kIssuedTooLongAgo};
  if (claim.issued_milliseconds > now_ + kMaximumIssueLeadMilliseconds)
    return ClaimRefused{.reason = ClaimRefusalReason::kIssuedInFuture};
  Record* record = Insert(claim.key);
  if (record == nullptr)
    return ClaimRefused{.reason = ClaimRefusalReason::kTableFull};
  record->fingerprint = claim.fingerprint;
  SetAttempt(*record, claim.attempt);
  return ClaimGranted{};
}

RecordAnswer RecordTable::ClaimExisting(const Claim& claim, Record& record) {
  // A record made by MarkNotRun alone has no fingerprint yet.
  if (record.fingerprint != 0 && record.fingerprint != claim.fingerprint)
    return ClaimRefused{.reason = ClaimRefusalReason::kOtherFingerprint};
  if (record.state == State::kClaimed) {
    // A command that was committed twice gets the same answer twice.
    if (IsAttempt(record, claim.attempt) ||
        fault_ == RecordFault::kGrantWhileClaimed)
      return ClaimGranted{};
    return Describe(record);
  }
  if (record.state != State::kNotRun)
    return Describe(record);
  if (IssuedTooLongAgo(claim))
    return OutcomeUnknown{.reason = UnknownReason::kIssuedTooLongAgo};
  if (IsAttempt(record, claim.attempt) &&
      fault_ != RecordFault::kForgetCancellation)
    return ClaimRefused{.reason = ClaimRefusalReason::kAttemptCancelled};
  record.state = State::kClaimed;
  record.fingerprint = claim.fingerprint;
  SetAttempt(record, claim.attempt);
  return ClaimGranted{};
}

RecordAnswer RecordTable::ApplyOne(const Complete& complete) {
  Record* record = Find(complete.key, complete.attempt);
  // An answer that arrives after its claimer reported "unknown" still tells
  // the truth about the request.
  if (record == nullptr ||
      (record->state != State::kClaimed && record->state != State::kUnknown))
    return Marked{.effect = MarkEffect::kIgnored};
  record->state = State::kAnswered;
  if (complete.answer.Bytes() <= limits_.maximum_answer_bytes) {
    KeepAnswer(*record, complete.answer);
    kept_answers_.push_back(*FindSequence(complete.key));
    BoundAnswers();
  }
  return Marked{.effect = MarkEffect::kApplied};
}

RecordAnswer RecordTable::ApplyOne(const MarkNotRun& mark) {
  Record* known = Find(mark.key);
  if (known == nullptr) {
    // The claim of this attempt may be committed after this mark. The record
    // made here refuses it.
    Record* record = Insert(mark.key);
    if (record == nullptr)
      return Marked{.effect = MarkEffect::kIgnored};
    record->state = State::kNotRun;
    SetAttempt(*record, mark.attempt);
    return Marked{.effect = MarkEffect::kApplied};
  }
  if (!IsAttempt(*known, mark.attempt) || known->state != State::kClaimed)
    return Marked{.effect = MarkEffect::kIgnored};
  known->state = State::kNotRun;
  return Marked{.effect = MarkEffect::kApplied};
}

RecordAnswer RecordTable::ApplyOne(const MarkUnknown& mark) {
  Record* record = Find(mark.key, mark.attempt);
  if (record == nullptr || record->state != State::kClaimed)
    return Marked{.effect = MarkEffect::kIgnored};
  record->state = State::kUnknown;
  return Marked{.effect = MarkEffect::kApplied};
}

RecordAnswer RecordTable::ApplyOne(const SetLimits& change) {
  if (change.limits.retention_milliseconds < kMinimumRetentionMilliseconds)
    return Marked{.effect = MarkEffect::kIgnored};
  // Records older than the retention so far are gone, so a longer retention
  // must not make their requests acceptable again.
  issue_floor_ = std::max(issue_floor_, now_ - limits_.retention_milliseconds +
                                            kMaximumIssueLeadMilliseconds);
  limits_ = change.limits;
  BoundAnswers();
  return Marked{.effect = MarkEffect::kApplied};
}

bool RecordTable::IssuedTooLongAgo(const Claim& claim) const {
  return claim.issued_milliseconds <
         std::max(issue_floor_, now_ - limits_.retention_milliseconds / 2);
}

RecordTable::Record* RecordTable::Insert(const RecordKey& key) {
  if (records_.size() >= limits_.maximum_records)
    return nullptr;
  return &Append(now_, key);
}

RecordTable::Record& RecordTable::Append(std::int64_t created,
                                         const RecordKey& key) {
  sequences_.emplace(HashOf(key.customer.value(), key.key),
                     first_sequence_ + records_.size());
  Record& record = records_.emplace_back();
  record.created = created;
  record.customer = texts_.Share(key.customer.value());
  record.key = CompactBytes(key.key);
  return record;
}

std::optional<RecordTable::Sequence> RecordTable::FindSequence(
    const RecordKey& key) const {
  const auto [first, last] =
      sequences_.equal_range(HashOf(key.customer.value(), key.key));
  for (auto entry = first; entry != last; ++entry) {
    const Record& record = records_[entry->second - first_sequence_];
    if (record.key.view() == key.key &&
        record.customer.value() == key.customer.value())
      return entry->second;
  }
  return std::nullopt;
}

RecordTable::Record* RecordTable::Find(const RecordKey& key) {
  const std::optional<Sequence> found = FindSequence(key);
  return found ? At(*found) : nullptr;
}

RecordTable::Record* RecordTable::Find(const RecordKey& key,
                                       const ClaimAttempt& attempt) {
  Record* record = Find(key);
  return record != nullptr && IsAttempt(*record, attempt) ? record : nullptr;
}

RecordTable::Record* RecordTable::At(Sequence sequence) {
  return sequence < first_sequence_ ? nullptr
                                    : &records_[sequence - first_sequence_];
}

void RecordTable::DropOldest() {
  const Record& record = records_.front();
  const auto [first, last] = sequences_.equal_range(
      HashOf(record.customer.value(), record.key.view()));
  sequences_.erase(std::find_if(first, last, [this](const auto& entry) {
    return entry.second == first_sequence_;
  }));
  DropAnswer(records_.front());
  records_.pop_front();
  ++first_sequence_;
}

bool RecordTable::IsAttempt(const Record& record, const ClaimAttempt& attempt) {
  return record.attempt_number == attempt.number &&
         record.attempt_host.value() == attempt.host.value();
}

void RecordTable::SetAttempt(Record& record, const ClaimAttempt& attempt) {
  record.attempt_host = texts_.Share(attempt.host.value());
  record.attempt_number = attempt.number;
}

void RecordTable::KeepAnswer(Record& record, const StoredAnswer& answer) {
  record.kept = AnswerKept::kYes;
  record.answer = {.status = answer.status,
                   .content_type = texts_.Share(answer.content_type),
                   .upstream = texts_.Share(answer.upstream.value()),
                   .body = CompactBytes(answer.body)};
  answer_bytes_ += answer.Bytes();
}

StoredAnswer RecordTable::ToStored(const Answer& answer) {
  return {.status = answer.status,
          .content_type = answer.content_type.value(),
          .body = std::string(answer.body.view()),
          .upstream = base::UpstreamId(answer.upstream.value())};
}

std::uint64_t RecordTable::BytesOf(const Answer& answer) {
  return answer.content_type.value().size() + answer.body.view().size() +
         answer.upstream.value().size();
}

void RecordTable::AdvanceTo(std::int64_t time) {
  now_ = std::max(now_, time);
  std::int64_t retention = limits_.retention_milliseconds;
  if (fault_ == RecordFault::kExpireEarly)
    retention /= 4;
  while (!records_.empty() && records_.front().created + retention < now_)
    DropOldest();
  while (!kept_answers_.empty() && At(kept_answers_.front()) == nullptr)
    kept_answers_.pop_front();
}

void RecordTable::DropAnswer(Record& record) {
  if (record.kept == AnswerKept::kNo)
    return;
  answer_bytes_ -= BytesOf(record.answer);
  record.kept = AnswerKept::kNo;
  // Moved out, so that its memory is freed here.
  const Answer dropped = std::exchange(record.answer, Answer{});
}

void RecordTable::BoundAnswers() {
  while (answer_bytes_ > limits_.maximum_total_answer_bytes &&
         !kept_answers_.empty()) {
    if (Record* record = At(kept_answers_.front()))
      DropAnswer(*record);
    kept_answers_.pop_front();
  }
}

void RecordTable::Clear() {
  records_.clear();
  sequences_.clear();
  kept_answers_.clear();
  first_sequence_ = 0;
  answer_bytes_ = 0;
}

}  // namespace wigeonstair::records
