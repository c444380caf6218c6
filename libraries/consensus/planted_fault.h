#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_PLANTED_FAULT_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_PLANTED_FAULT_H_

#include <cstdint>

namespace wigeonstair::consensus {

// A mistake that a replica makes on purpose, so that a test can show that its
// checks find it. For tests only; processes leave it at kNone.
enum class PlantedFault : std::uint8_t {
  kNone,
  // Votes for every candidate of a term.
  kVoteTwice,
  // Ignores how complete the candidate's log is.
  kVoteForShortLog,
  // Acknowledges entries before they are on disk.
  kAcknowledgeBeforePersist,
  // Commits what one host short of a majority holds.
  kCommitWithoutMajority,
  // Answers reads as leader without a lease or a confirmation.
  kReadWithoutLease,
  // Raises the term without asking first (no pre-vote).
  kNoPreVote,
  // Keeps its own entries when the leader's differ.
  kKeepConflictingEntries,
  // Uses its former incarnation after it lost its disk.
  kVoteWithEmptyDisk,
  // Applies a snapshot but keeps the old state as well.
  kSkipRestore,
  // Storage does not call fsync.
  kSkipSync,
  // Storage goes on after a failed fsync.
  kIgnoreFailedSync,
  // Storage leaves reserved bytes at the end of a full segment.
  kSkipTrim,
  // Storage takes zeros for the end of the log and ignores what follows them.
  kStopAtZeros,
  // Starts a change of members before the last one is committed.
  kOverlappingMemberChanges,
  // Applies entries before the commit index is durable.
  kApplyBeforeRecord,
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_PLANTED_FAULT_H_
