#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_TABLE_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "base/result.h"
#include "records/compact_bytes.h"
#include "records/record_command.h"
#include "records/text_pool.h"

namespace wigeonstair::records {

// Faults planted by tests to show that a check detects them. For tests only.
enum class RecordFault : std::uint8_t {
  kNone,
  kGrantWhileClaimed,   // A claim of another attempt is granted.
  kForgetCancellation,  // A claim is granted after its attempt was cancelled.
  kExpireEarly,         // Records expire after a quarter of the retention.
};

struct RecordTableOptions {
  RecordLimits limits;
  RecordFault fault = RecordFault::kNone;
};

// The replicated state of group `records`: what happened to each key. Pure and
// deterministic: replicas that apply the same commands hold the same state.
//
// Time is the highest time of any command so far. Correctness does not depend
// on the hosts' clocks: a claim issued longer ago than half the retention, or
// more than kMaximumIssueLead ahead, is refused by the same time that expires
// records, so a resend that outlives its record is never granted.
class RecordTable {
 public:
  static constexpr std::int64_t kMaximumIssueLeadMilliseconds = 10'000;
  // Half of it must exceed the issue lead; see the class comment.
  static constexpr std::int64_t kMinimumRetentionMilliseconds = 60'000;

  explicit RecordTable(RecordTableOptions options = {});
  // The records refer to the pool of texts.
  RecordTable(const RecordTable&) = delete;
  RecordTable& operator=(const RecordTable&) = delete;

  RecordAnswer Apply(const RecordCommand& command);
  // Apply() on encoded commands and answers; for the state machine of a group.
  std::string ApplyEncoded(std::string_view command);

  // The state of a key, without changing anything.
  RecordAnswer Query(const RecordKey& key) const;

  // The whole state as bytes. Equal states give equal bytes.
  std::string Snapshot() const;
  // Replaces the state. Fails with kCorruptData and then changes nothing.
  base::Result<std::monostate> Restore(std::string_view bytes);

  std::size_t record_count() const { return records_.size(); }
  std::uint64_t stored_answer_bytes() const { return answer_bytes_; }
  std::int64_t time_milliseconds() const { return now_; }

 private:
  enum class State : std::uint8_t { kClaimed, kAnswered, kUnknown, kNotRun };
  enum class AnswerKept : std::uint8_t { kNo, kYes };

  // Position in the order of creation, which is the order of expiry.
  using Sequence = std::uint64_t;

  // The texts that many records have in common are shared. With strings of its
  // own, and its key in three containers, a record took 560 B.
  struct Answer {
    int status = 0;
    TextPool::Reference content_type;
    TextPool::Reference upstream;
    CompactBytes body;
  };
  struct Record {
    std::int64_t created = 0;
    TextPool::Reference customer;
    CompactBytes key;
    std::uint64_t fingerprint = 0;
    TextPool::Reference attempt_host;
    std::uint64_t attempt_number = 0;
    State state = State::kClaimed;
    AnswerKept kept = AnswerKept::kNo;
    Answer answer;
  };
  struct StoredRecord;
  class Writer;
  class Reader;

  RecordAnswer ApplyOne(const Claim& claim);
  RecordAnswer ApplyOne(const Complete& complete);
  RecordAnswer ApplyOne(const MarkNotRun& mark);
  RecordAnswer ApplyOne(const MarkUnknown& mark);
  RecordAnswer ApplyOne(const SetLimits& change);

  RecordAnswer ClaimExisting(const Claim& claim, Record& record);
  bool IssuedTooLongAgo(const Claim& claim) const;
  // Null when the table is full.
  Record* Insert(const RecordKey& key);
  Record& Append(std::int64_t created, const RecordKey& key);
  std::optional<Sequence> FindSequence(const RecordKey& key) const;
  // Null when there is none.
  Record* Find(const RecordKey& key);
  Record* Find(const RecordKey& key, const ClaimAttempt& attempt);
  Record* At(Sequence sequence);
  void DropOldest();
  RecordAnswer Describe(const Record& record) const;
  void SetAttempt(Record& record, const ClaimAttempt& attempt);
  void KeepAnswer(Record& record, const StoredAnswer& answer);
  void AdvanceTo(std::int64_t time);
  void DropAnswer(Record& record);
  void BoundAnswers();
  void Clear();

  static bool IsAttempt(const Record& record, const ClaimAttempt& attempt);
  static StoredAnswer ToStored(const Answer& answer);
  static StoredRecord ToStored(const Record& record);
  static std::uint64_t BytesOf(const Answer& answer);
  void AppendStored(const StoredRecord& stored);

  RecordFault fault_;
  RecordLimits limits_;
  std::int64_t now_ = 0;
  // Requests issued before it are refused whatever the retention is.
  std::int64_t issue_floor_ = 0;
  std::uint64_t answer_bytes_ = 0;
  // Before the records, which refer to it.
  TextPool texts_;
  std::deque<Record> records_;
  Sequence first_sequence_ = 0;
  // By the hash of the key.
  std::unordered_multimap<std::size_t, Sequence> sequences_;
  // Records with a kept answer, the oldest answer first. Some of their answers
  // or records may be gone.
  std::deque<Sequence> kept_answers_;
};

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_RECORD_TABLE_H_
