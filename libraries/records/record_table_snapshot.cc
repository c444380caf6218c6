#include <string>
#include <utility>
#include <variant>

#include "net/codec.h"
#include "records/record_table.h"

namespace wigeonstair::records {

namespace {

constexpr std::uint32_t kVersion = 1;

}  // namespace

// A record as a snapshot holds it.
struct RecordTable::StoredRecord {
  std::int64_t created = 0;
  RecordKey key;
  State state = State::kClaimed;
  AnswerKept kept = AnswerKept::kNo;
  std::uint64_t fingerprint = 0;
  ClaimAttempt attempt;
  StoredAnswer answer;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(created, key, state, kept, fingerprint, attempt, answer);
  }
};

// The stored form of a table: records in the order of creation, then the keys
// of the kept answers. It is written and read record by record, because a copy
// of all of them takes as much memory as the table.
class RecordTable::Writer {
 public:
  explicit Writer(const RecordTable& table) : table_(table) {}

  template <typename Archive>
  void save(Archive& archive) const {  // NOLINT: cereal's name.
    archive(kVersion, table_.limits_, table_.now_, table_.issue_floor_);
    archive(cereal::make_size_tag(
        static_cast<cereal::size_type>(table_.records_.size())));
    for (const Record& record : table_.records_)
      archive(ToStored(record));
    archive(cereal::make_size_tag(CountKept()));
    ForEachKept([&](const Record& record) { archive(ToStored(record).key); });
  }

 private:
  template <typename Function>
  void ForEachKept(Function function) const {
    for (const Sequence sequence : table_.kept_answers_) {
      if (sequence < table_.first_sequence_)
        continue;
      const Record& record = table_.records_[sequence - table_.first_sequence_];
      if (record.kept == AnswerKept::kYes)
        function(record);
    }
  }
  cereal::size_type CountKept() const {
    cereal::size_type count = 0;
    ForEachKept([&](const Record&) { ++count; });
    return count;
  }

  const RecordTable& table_;
};

// Checks a snapshot when it has no table, and otherwise fills the table.
class RecordTable::Reader {
 public:
  explicit Reader(RecordTable* table) : table_(table) {}

  template <typename Archive>
  void load(Archive& archive) {  // NOLINT: cereal's name.
    std::uint32_t version = 0;
    RecordLimits limits;
    std::int64_t now = 0;
    std::int64_t issue_floor = 0;
    archive(version, limits, now, issue_floor);
    if (version != kVersion)
      throw cereal::Exception("the snapshot is of another version");
    if (table_ != nullptr) {
      table_->limits_ = limits;
      table_->now_ = now;
      table_->issue_floor_ = issue_floor;
    }
    ForEach<StoredRecord>(archive, [this](const StoredRecord& stored) {
      table_->AppendStored(stored);
    });
    // A key without a record is of an answer that is gone.
    ForEach<RecordKey>(archive, [this](const RecordKey& key) {
      if (const auto sequence = table_->FindSequence(key))
        table_->kept_answers_.push_back(*sequence);
    });
  }

 private:
  template <typename T, typename Archive, typename Function>
  void ForEach(Archive& archive, Function function) {
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    for (cereal::size_type i = 0; i < size; ++i) {
      T element;
      archive(element);
      if (table_ != nullptr)
        function(element);
    }
  }

  RecordTable* table_;
};

RecordTable::StoredRecord RecordTable::ToStored(const Record& record) {
  return {.created = record.created,
          .key = {.customer = base::CustomerId(record.customer.value()),
                  .key = std::string(record.key.view())},
          .state = record.state,
          .kept = record.kept,
          .fingerprint = record.fingerprint,
          .attempt = {.host = base::HostId(record.attempt_host.value()),
                      .number = record.attempt_number},
          .answer = ToStored(record.answer)};
}

void RecordTable::AppendStored(const StoredRecord& stored) {
  Record& record = Append(stored.created, stored.key);
  record.state = stored.state;
  record.fingerprint = stored.fingerprint;
  SetAttempt(record, stored.attempt);
  if (stored.kept == AnswerKept::kYes)
    KeepAnswer(record, stored.answer);
}

std::string RecordTable::Snapshot() const {
  const Writer writer(*this);
  return net::Encode(writer, net::EncodedSize(writer));
}

base::Result<std::monostate> RecordTable::Restore(std::string_view bytes) {
  Reader check(nullptr);
  TRY(net::DecodeInto(check, bytes));
  Clear();
  Reader fill(this);
  return net::DecodeInto(fill, bytes);
}

}  // namespace wigeonstair::records
