#ifndef WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_RECORDS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_RECORDS_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/state_machine.h"
#include "records/record_table.h"

namespace wigeonstair::control {

// The request records of this host. Thread-safe.
class ReplicatedRecords final : public consensus::StateMachine {
 public:
  explicit ReplicatedRecords(records::RecordTableOptions options);

  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  base::Result<std::monostate> Restore(std::string_view snapshot) override;

  records::RecordAnswer Query(const records::RecordKey& key) const;
  std::size_t record_count() const;

 private:
  mutable std::mutex mutex_;
  records::RecordTable table_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_REPLICATED_RECORDS_H_
