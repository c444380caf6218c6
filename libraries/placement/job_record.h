#ifndef WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_RECORD_H_
#define WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_RECORD_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "base/monotonic_clock.h"
#include "cluster/job.h"
#include "placement/cell_hierarchy.h"
#include "placement/decisions.h"
#include "placement/views.h"

namespace wigeonstair::placement {

enum class MemberState : std::uint8_t {
  kPreparing,
  kPrepared,
  kStarting,
  kRunning,
  kFinished,    // Ended successfully; holds no resources.
  kStopping,    // Directed to stop or abort; still holds resources.
  kTerminated,  // Stopped, failed or lost; holds no resources.
};

// One task of a gang in its current attempt.
struct Member {
  SlotIndex slot = kNoSlot;
  AcceleratorMask accelerators = 0;
  MemberState state = MemberState::kPreparing;
  // Position in the guarantee ledger; -1 when borrowed.
  int cell = -1;
  int segment = -1;
  // Progress of the newest checkpoint of this attempt, or -1.
  std::int64_t checkpoint_milliseconds = -1;
  // The worker has reported this task. Only then does its absence from a full
  // report mean that it was lost; before, the directive to prepare may still be
  // in transit.
  bool confirmed = false;
  // The member has confirmed the latest checkpoint directive.
  bool checkpoint_confirmed = false;
};

inline bool HoldsResources(MemberState state) {
  return state != MemberState::kFinished && state != MemberState::kTerminated;
}

// Resources of a slot that a job waits for while borrowed tasks stop.
struct Claim {
  SlotIndex slot = kNoSlot;
  Resources resources = {};
};

enum class AfterStop : std::uint8_t { kRequeue, kRemove };

// Why a job was directed to stop.
enum class StopCause : std::uint8_t {
  kNone,
  kReclaim,
  kDrain,
  kDefragment,
  kYield,
  kFailure,
  kCancel,
};

struct Job {
  cluster::JobSpecification specification = {};
  // Order of submission. Used for sorting, so that the order does not depend on
  // addresses.
  std::int64_t sequence = 0;
  int customer = -1;
  JobState state = JobState::kQueued;
  Coverage coverage = Coverage::kBorrowed;
  StopCause stop_cause = StopCause::kNone;
  AfterStop after_stop = AfterStop::kRequeue;
  FormerRun former_run = FormerRun::kPossible;
  std::int64_t attempt = 0;
  std::vector<Member> members = {};
  // Counts of the members that hold resources, that have reached the state
  // which the gang waits for (prepared or started), and that finished.
  int held_members = 0;
  int ready_members = 0;
  int finished_members = 0;
  std::vector<Claim> claims = {};
  // The members to prepare once the claimed resources are free.
  std::vector<Member> planned_members = {};
  base::Instant submitted_at = {};
  base::Instant queued_at = {};
  base::Instant started_at = {};
  // When the current attempt was directed to prepare, and to checkpoint. Empty
  // when this engine did not issue the directive.
  std::optional<base::Instant> prepare_ordered_at = {};
  std::optional<base::Instant> stop_ordered_at = {};
  // When the current state times out; empty when it does not.
  std::optional<base::Instant> deadline = {};
  std::int64_t checkpoint_milliseconds = 0;
  // Expected duration of the whole run, and an upper bound for most runs.
  base::Duration estimate{0};
  base::Duration upper_estimate{0};
  // Failures attributed to the job, at most one per slot, and all failures.
  int attributed_failures = 0;
  int total_failures = 0;
  // Workers on which the job failed.
  std::vector<SlotIndex> failed_slots = {};
  // Until then the job is not placed on `failed_slots`.
  base::Instant avoid_until = {};
  bool queued = false;
  QueueKey key = {};
  Reason reason = {};
  std::vector<Explanation::Entry> entries = {};

  Resources task_resources() const {
    return {.accelerators = specification.accelerators_per_task,
            .cores = specification.cores_per_task,
            .memory_megabytes = specification.memory_megabytes_per_task};
  }
  int accelerators() const {
    return specification.tasks * specification.accelerators_per_task;
  }
  bool ended() const { return state >= JobState::kFinished; }

  bool Avoids(SlotIndex slot, base::Instant now) const {
    return now < avoid_until &&
           std::find(failed_slots.begin(), failed_slots.end(), slot) !=
               failed_slots.end();
  }

  // Expected remaining run time after `done`, at least one second. A job that
  // has run for longer than its estimate is expected to need half as long
  // again.
  base::Duration RemainingAfter(base::Duration done) const {
    return std::max<base::Duration>(
        {estimate - done, done / 2, std::chrono::seconds(1)});
  }
  // Expected remaining run time after the last checkpoint.
  base::Duration Remaining() const {
    return RemainingAfter(std::chrono::milliseconds(checkpoint_milliseconds));
  }
  // Expected remaining run time of a running job.
  base::Duration RemainingAt(base::Instant now) const {
    return RemainingAfter(std::chrono::milliseconds(checkpoint_milliseconds) +
                          (now - started_at));
  }
  base::Instant PredictedEnd(base::Instant now) const {
    return now + RemainingAt(now);
  }
};

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_LIBRARIES_PLACEMENT_JOB_RECORD_H_
