#include "consensus/codec.h"

#include <xxhash.h>

#include <memory>
#include <new>
#include <stdexcept>

#include "consensus/archive.h"

namespace wigeonstair::consensus {

namespace {

template <typename T>
std::string EncodeValue(const T& value) {
  std::string bytes;
  CompactOutputArchive archive(bytes);
  archive(value);
  return bytes;
}

void LoadValue(CompactInputArchive& archive, MemberList& members) {
  LoadList(archive, members);
}

void LoadValue(CompactInputArchive& archive, BatchRecords& records) {
  LoadList(archive, records);
}

template <typename T>
void LoadValue(CompactInputArchive& archive, T& value) {
  archive(value);
}

// cereal accepts any number for an enumeration.
template <typename Enumeration>
void CheckRange(Enumeration value, Enumeration last) {
  if (value > last)
    throw cereal::Exception("enumeration is out of range");
}

void CheckValue(const Entry& entry) {
  CheckRange(entry.kind, EntryKind::kMembers);
}

void CheckValue(const MemberChange& change) {
  CheckRange(change.kind, MemberChangeKind::kRemove);
}

void CheckValue(const MemberList& members) {
  for (const Member& member : members)
    CheckRange(member.role, MemberRole::kCatchingUp);
}

void CheckValue(const Snapshot& snapshot) {
  CheckValue(snapshot.members);
}

void CheckValue(const BatchRecord& record) {
  CheckRange(record.has_hard_state, std::uint8_t{1});
  CheckRange(record.log_after_snapshot, LogAfterSnapshot::kDiscard);
  for (const Entry& entry : record.entries)
    CheckValue(entry);
}

void CheckValue(const BatchRecords& records) {
  for (const BatchRecord& record : records)
    CheckValue(record);
}

void CheckValue(const SegmentHeader& header) {
  CheckValue(header.state);
}

struct PayloadCheck {
  void operator()(const VoteRequest& vote) const {
    CheckRange(vote.kind, VoteKind::kTransfer);
  }
  void operator()(const VoteReply& vote) const {
    CheckRange(vote.kind, VoteKind::kTransfer);
    CheckRange(vote.verdict, Verdict::kGranted);
  }
  void operator()(const AppendRequest& append) const {
    for (const Entry& entry : append.entries)
      CheckValue(entry);
  }
  void operator()(const AppendReply& reply) const {
    CheckRange(reply.verdict, Verdict::kGranted);
  }
  void operator()(const FormationReply& reply) const {
    CheckRange(reply.state, FormationState::kNoGroup);
  }
  template <typename Other>
  void operator()(const Other&) const {}
};

void CheckValue(const Message& message) {
  std::visit(PayloadCheck(), message.payload);
}

}  // namespace

std::string Encode(const Message& message) {
  return EncodeValue(message);
}

SnapshotParts EncodeParts(const Snapshot& snapshot) {
  SnapshotParts parts{.before = {}, .state = snapshot.state, .after = {}};
  CompactOutputArchive before(parts.before);
  before(snapshot.index, snapshot.term,
         cereal::make_size_tag(
             static_cast<cereal::size_type>(snapshot.state.size())));
  CompactOutputArchive after(parts.after);
  SaveList(after, snapshot.members);
  return parts;
}

std::string Encode(const Snapshot& snapshot) {
  const SnapshotParts parts = EncodeParts(snapshot);
  std::string bytes;
  bytes.reserve(parts.before.size() + parts.state.size() + parts.after.size());
  bytes += parts.before;
  bytes += parts.state;
  bytes += parts.after;
  return bytes;
}

std::string Encode(const MemberChange& change) {
  return EncodeValue(change);
}

std::string Encode(const SegmentHeader& header) {
  return EncodeValue(header);
}

std::string Encode(const BatchRecords& records) {
  std::string bytes;
  CompactOutputArchive archive(bytes);
  SaveList(archive, records);
  return bytes;
}

std::string Encode(const MemberList& members) {
  std::string bytes;
  CompactOutputArchive archive(bytes);
  SaveList(archive, members);
  return bytes;
}

template <typename T>
base::Result<T> Decode(std::string_view bytes) {
  try {
    CompactInputArchive archive(bytes);
    T value;
    LoadValue(archive, value);
    if (archive.remaining() != 0)
      throw cereal::Exception("bytes are left over");
    CheckValue(value);
    return value;
  } catch (const std::exception& error) {
    return base::Fail(base::ErrorCode::kCorruptData, "decode", {},
                      error.what());
  }
}

template base::Result<Message> Decode(std::string_view);
template base::Result<Snapshot> Decode(std::string_view);
template base::Result<MemberList> Decode(std::string_view);
template base::Result<MemberChange> Decode(std::string_view);
template base::Result<SegmentHeader> Decode(std::string_view);
template base::Result<BatchRecords> Decode(std::string_view);

std::uint64_t Checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t Checksum(std::span<const std::string_view> parts,
                       std::uint64_t seed) {
  if (parts.size() == 1)
    return Checksum(parts.front(), seed);
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state(
      XXH64_createState(), &XXH64_freeState);
  XXH64_reset(state.get(), seed);
  for (const std::string_view part : parts)
    XXH64_update(state.get(), part.data(), part.size());
  return XXH64_digest(state.get());
}

}  // namespace wigeonstair::consensus
