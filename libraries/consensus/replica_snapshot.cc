#include <algorithm>
#include <variant>

#include "base/result.h"
#include "consensus/codec.h"
#include "consensus/replica.h"

namespace wigeonstair::consensus {

void Replica::Handle(const SnapshotDueInput& input) {
  const std::optional<Term> term = log_.TermAt(input.index);
  if (!term || input.index <= log_.snapshot_index() ||
      input.index > delivered_index_) {
    return;
  }
  log_.DropSnapshotState();
  auto snapshot = std::make_shared<const Snapshot>(
      Snapshot{.index = input.index,
               .term = *term,
               .members = log_.MembersAt(input.index),
               .state = input.state()});
  log_.Compact(snapshot, options_.limits.kept_entries);
  if (!output_.batch)
    output_.batch.emplace();
  output_.batch->snapshot = std::move(snapshot);
}

void Replica::StartSnapshotTransfer(Progress& progress) {
  const Snapshot& snapshot = *log_.snapshot();
  if (!encoded_snapshot_ || encoded_snapshot_index_ != snapshot.index) {
    encoded_snapshot_ = std::make_shared<const std::string>(Encode(snapshot));
    encoded_snapshot_index_ = snapshot.index;
  }
  progress.mode = ProgressMode::kSnapshot;
  progress.snapshot = encoded_snapshot_;
  progress.snapshot_index = snapshot.index;
  progress.snapshot_term = snapshot.term;
  progress.snapshot_checksum = Checksum(*encoded_snapshot_);
  progress.snapshot_offset = 0;
}

void Replica::SendChunk(const Member& member, Progress& progress) {
  progress.next_heartbeat_at = now() + options_.timing.heartbeat;
  Send(member,
       SnapshotChunk{
           .snapshot_index = progress.snapshot_index,
           .snapshot_term = progress.snapshot_term,
           .total_bytes = progress.snapshot->size(),
           .checksum = progress.snapshot_checksum,
           .offset = progress.snapshot_offset,
           .sent_at = SendTime(),
           .bytes = progress.snapshot->substr(
               progress.snapshot_offset, options_.limits.snapshot_chunk_bytes)},
       Release::kNow);
}

void Replica::HandlePayload(const Message& message,
                            const SnapshotChunkReply& reply) {
  const Member* member = FindSender(message);
  if (member == nullptr || role_ != Role::kLeader ||
      message.term != hard_state_.term) {
    return;
  }
  Progress& progress = progress_[member->host];
  progress.incarnation = message.from_incarnation;
  NoteContact(progress, reply.sent_at);
  if (progress.mode != ProgressMode::kSnapshot ||
      reply.snapshot_index != progress.snapshot_index ||
      reply.next_offset == progress.snapshot_offset ||
      reply.next_offset >= progress.snapshot->size()) {
    return;
  }
  progress.snapshot_offset = reply.next_offset;
  SendChunk(*member, progress);
}

void Replica::HandlePayload(const Message& message,
                            const SnapshotChunk& chunk) {
  if (!AcceptLeader(message))
    return;
  known_commit_index_ = std::max(known_commit_index_, chunk.snapshot_index);
  if (chunk.snapshot_index <= commit_index_) {
    received_ = {};
    Reply(message, AppendReply{.verdict = Verdict::kGranted,
                               .index = chunk.snapshot_index,
                               .sent_at = chunk.sent_at});
    return;
  }
  if (chunk.total_bytes > options_.limits.snapshot_bytes)
    return;
  if (received_.index != chunk.snapshot_index ||
      received_.term != chunk.snapshot_term ||
      received_.checksum != chunk.checksum) {
    received_ = {.index = chunk.snapshot_index,
                 .term = chunk.snapshot_term,
                 .checksum = chunk.checksum,
                 .bytes = {}};
  }
  if (chunk.offset == received_.bytes.size() &&
      chunk.offset + chunk.bytes.size() <= chunk.total_bytes) {
    received_.bytes += chunk.bytes;
  }
  if (received_.bytes.size() == chunk.total_bytes) {
    FinishReceivedSnapshot(message, chunk);
    return;
  }
  Reply(message, SnapshotChunkReply{.snapshot_index = chunk.snapshot_index,
                                    .next_offset = received_.bytes.size(),
                                    .sent_at = chunk.sent_at});
}

void Replica::FinishReceivedSnapshot(const Message& message,
                                     const SnapshotChunk& chunk) {
  const std::string bytes = std::exchange(received_, {}).bytes;
  auto decoded = base::Capture([&] { return Decode<Snapshot>(bytes); });
  auto* snapshot = std::get_if<Snapshot>(&decoded);
  if (Checksum(bytes) != chunk.checksum || snapshot == nullptr ||
      snapshot->index != chunk.snapshot_index ||
      snapshot->term != chunk.snapshot_term) {
    // The transfer starts again.
    Reply(message, SnapshotChunkReply{.snapshot_index = chunk.snapshot_index,
                                      .next_offset = 0,
                                      .sent_at = chunk.sent_at});
    return;
  }
  InstallSnapshot(std::make_shared<const Snapshot>(std::move(*snapshot)));
  Reply(message, AppendReply{.verdict = Verdict::kGranted,
                             .index = chunk.snapshot_index,
                             .sent_at = chunk.sent_at});
}

void Replica::InstallSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  const bool kept = log_.TermAt(snapshot->index) == snapshot->term;
  log_.Install(snapshot);
  if (!kept) {
    // Entries of the former log are gone; nothing after the snapshot is stored.
    persisted_index_ = std::min(persisted_index_, snapshot->index);
    for (PendingPersist& pending : pending_persists_)
      pending.last_index = std::min(pending.last_index, snapshot->index);
  }
  commit_index_ = snapshot->index;
  if (!output_.batch)
    output_.batch.emplace();
  output_.batch->snapshot = snapshot;
  output_.batch->log_after_snapshot =
      kept ? LogAfterSnapshot::kKeep : LogAfterSnapshot::kDiscard;
  if (records_commit() && options_.fault != PlantedFault::kApplyBeforeRecord) {
    waiting_restore_ = std::move(snapshot);
    restore_sequence_ = sequence_ + 1;
  } else {
    Restore(std::move(snapshot));
  }
  UpdateRoleFromMembers();
}

}  // namespace wigeonstair::consensus
