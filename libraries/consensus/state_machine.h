#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_STATE_MACHINE_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_STATE_MACHINE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"

namespace wigeonstair::consensus {

// The replicated state of a group. It must be deterministic: the same commands
// in the same order give the same results and snapshots on every host. Calls
// come one at a time; the owner guards reads of its own.
class StateMachine {
 public:
  virtual ~StateMachine() = default;

  // Applies one committed command and returns the result for its proposer.
  // Indexes rise but are not consecutive.
  virtual std::string Apply(std::uint64_t index, std::string_view command) = 0;
  // The whole state in a form that Restore reads.
  virtual std::string Snapshot() const = 0;
  // Replaces the whole state. Fails with kCorruptData.
  virtual base::Result<std::monostate> Restore(std::string_view snapshot) = 0;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_STATE_MACHINE_H_
