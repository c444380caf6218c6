#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_REASON_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_REASON_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeonstair::placement {

enum class ReasonCode : std::uint8_t {
  kGuaranteed,        // The customer's own cells cover the job.
  kBorrowed,          // The job uses accelerators that no guarantee claims now.
  kAllPrepared,       // All members of the gang hold their resources.
  kReclaim,           // A guarantee claims resources that a borrowed task uses.
  kDefragment,        // Moving the task lets a waiting gang start.
  kDomainOut,         // The failure domain was taken out of service.
  kRecovering,        // Workers have not reported to the new authority yet.
  kNoCapacity,        // Too few resources are free now.
  kFragmented,        // Enough is free, but without the required adjacency.
  kBorrowingLimit,    // The customer has reached its borrowing limit.
  kReserved,          // The free resources are reserved for a large gang.
  kInfeasible,        // The job cannot run even in an empty domain.
  kInvalid,           // The job specification is malformed.
  kDomainNotAllowed,  // The job only allows other failure domains.
  kUnknownCustomer,   // The configuration has no such customer.
  kGangMemberFailed,  // Another member of the gang failed or was lost.
  kPrepareTimeout,    // A worker did not prepare in time.
  kStartTimeout,      // A worker did not start its task in time.
  kStopUnconfirmed,   // The stop was not confirmed in time; sent again.
  kAttemptsExhausted,  // The job failed on several workers.
  kCancelled,          // The customer cancelled the job.
  kCompleted,          // All tasks have finished.
  kUnknownTask,        // The worker runs a task of no current attempt.
  kFailsEverything,    // All recent tasks on the worker failed.
  kEjectionFloor,      // Too many workers are ejected already.
  kProbation,          // An ejected worker gets little work as a test.
  kRecoveredHealth,    // The worker finished a task on probation.
  kOverload,           // Measured use is above the worker's capacity.
  kRoomElsewhere,      // Another failure domain has capacity for the job.
  kYield,              // A borrowed gang makes way for short waiting jobs.
};

// The stable name for logs and for the HTTP interface, such as "no_capacity".
std::string_view ReasonCodeName(ReasonCode code);

// An alternative that was considered, such as a worker or a rack, and why it
// was not chosen.
struct RejectedAlternative {
  std::string alternative = {};
  std::string why = {};

  bool operator==(const RejectedAlternative&) const = default;
};

struct Reason {
  ReasonCode code = ReasonCode::kNoCapacity;
  std::string text = {};
  // At most kMaximumRejected entries.
  std::vector<RejectedAlternative> rejected = {};

  static constexpr int kMaximumRejected = 4;

  bool operator==(const Reason&) const = default;
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_REASON_H_
