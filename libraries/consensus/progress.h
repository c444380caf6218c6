#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_PROGRESS_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_PROGRESS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/monotonic_clock.h"
#include "consensus/log_entry.h"
#include "consensus/member.h"

namespace wigeonstair::consensus {

enum class ProgressMode : std::uint8_t {
  // One append at a time until the follower's log is known.
  kProbe,
  // Appends are sent without waiting for the replies to earlier ones.
  kPipeline,
  kSnapshot,
};

// What a leader knows about one other member.
struct Progress {
  ProgressMode mode = ProgressMode::kProbe;
  // The member holds the leader's log up to here.
  Index match = 0;
  // The next index to send.
  Index next = 1;
  // The commit index that the member was last told.
  Index told_commit = 0;
  // The incarnation in the members when this record was made.
  Incarnation member_incarnation = 0;
  // The life of the member's folder that sent the last reply.
  Incarnation incarnation = 0;
  // An append is out in kProbe.
  bool awaits_probe_reply = false;
  // The send time of the newest message that the member answered.
  std::optional<base::Instant> contact;
  base::Instant next_heartbeat_at;

  // kSnapshot only.
  std::shared_ptr<const std::string> snapshot;
  Index snapshot_index = 0;
  Term snapshot_term = 0;
  std::uint64_t snapshot_checksum = 0;
  std::uint64_t snapshot_offset = 0;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_PROGRESS_H_
