#include "consensus/entry_log.h"

#include <algorithm>
#include <variant>

#include "base/result.h"
#include "consensus/codec.h"

namespace wigeonstair::consensus {

EntryLog::EntryLog(const StoredState& stored) : snapshot_(stored.snapshot) {
  if (snapshot_) {
    base_index_ = snapshot_->index;
    base_term_ = snapshot_->term;
    members_ = {{snapshot_->index, snapshot_->members}};
  }
  for (const Entry& entry : stored.entries)
    Append(entry);
}

Term EntryLog::last_term() const {
  return entries_.empty() ? base_term_ : entries_.back().term;
}

std::optional<Term> EntryLog::TermAt(Index index) const {
  if (index == base_index_)
    return base_term_;
  if (index < base_index_ || index > last_index())
    return std::nullopt;
  return EntryAt(index).term;
}

const Entry& EntryLog::EntryAt(Index index) const {
  return entries_[index - base_index_ - 1];
}

Index EntryLog::FirstIndexOfTerm(Index index) const {
  const Term term = EntryAt(index).term;
  while (index > base_index_ + 1 && EntryAt(index - 1).term == term)
    --index;
  return index;
}

Index EntryLog::LastIndexUpToTerm(Term term) const {
  // Terms never fall along the log.
  const auto after = std::upper_bound(
      entries_.begin(), entries_.end(), term,
      [](Term value, const Entry& entry) { return value < entry.term; });
  return base_index_ + static_cast<Index>(after - entries_.begin());
}

const MemberList& EntryLog::members() const {
  return members_.back().second;
}

Index EntryLog::members_index() const {
  return members_.back().first;
}

MemberList EntryLog::MembersAt(Index index) const {
  MemberList members;
  for (const auto& [set_at, list] : members_) {
    if (set_at <= index)
      members = list;
  }
  return members;
}

void EntryLog::NoteMembers(Index index, const Entry& entry) {
  if (entry.kind != EntryKind::kMembers)
    return;
  auto decoded = base::Capture([&] { return Decode<MemberList>(entry.data); });
  // Entries are checksummed and written by this library, so a list that cannot
  // be decoded has no sensible meaning; the members stay as they are.
  if (auto* members = std::get_if<MemberList>(&decoded))
    members_.emplace_back(index, std::move(*members));
}

void EntryLog::Append(Entry entry) {
  NoteMembers(last_index() + 1, entry);
  entries_.push_back(std::move(entry));
}

void EntryLog::TruncateFrom(Index index) {
  while (last_index() >= index && !entries_.empty())
    entries_.pop_back();
  while (members_.size() > 1 && members_.back().first >= index)
    members_.pop_back();
}

void EntryLog::DropSnapshotState() {
  if (!snapshot_)
    return;
  snapshot_ =
      std::make_shared<const Snapshot>(Snapshot{.index = snapshot_->index,
                                                .term = snapshot_->term,
                                                .members = snapshot_->members,
                                                .state = {}});
}

void EntryLog::Compact(std::shared_ptr<const Snapshot> snapshot,
                       std::size_t keep_entries) {
  const Index index = snapshot->index;
  snapshot_ = std::move(snapshot);
  while (members_.size() > 1 && members_[1].first <= index)
    members_.erase(members_.begin());
  while (!entries_.empty() && base_index_ + keep_entries < index) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
}

void EntryLog::Install(std::shared_ptr<const Snapshot> snapshot) {
  if (TermAt(snapshot->index) == snapshot->term) {
    Compact(std::move(snapshot), 0);
    return;
  }
  entries_.clear();
  base_index_ = snapshot->index;
  base_term_ = snapshot->term;
  members_ = {{snapshot->index, snapshot->members}};
  snapshot_ = std::move(snapshot);
}

}  // namespace wigeonstair::consensus
