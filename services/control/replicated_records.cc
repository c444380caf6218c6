#include "services/control/replicated_records.h"

namespace wigeonstair::control {

ReplicatedRecords::ReplicatedRecords(records::RecordTableOptions options)
    : table_(options) {}

std::string ReplicatedRecords::Apply(std::uint64_t /*index*/,
                                     std::string_view command) {
  std::lock_guard lock(mutex_);
  return table_.ApplyEncoded(command);
}

std::string ReplicatedRecords::Snapshot() const {
  std::lock_guard lock(mutex_);
  return table_.Snapshot();
}

base::Result<std::monostate> ReplicatedRecords::Restore(
    std::string_view snapshot) {
  std::lock_guard lock(mutex_);
  return table_.Restore(snapshot);
}

records::RecordAnswer ReplicatedRecords::Query(
    const records::RecordKey& key) const {
  std::lock_guard lock(mutex_);
  return table_.Query(key);
}

std::size_t ReplicatedRecords::record_count() const {
  std::lock_guard lock(mutex_);
  return table_.record_count();
}

}  // namespace wigeonstair::control
