#include "membership/record_store.h"

#include <xxhash.h>

#include <compare>
#include <iterator>
#include <limits>
#include <utility>

namespace wigeonstair::membership {

namespace {

std::size_t IndexOf(RecordScope scope) {
  return static_cast<std::size_t>(scope);
}

}  // namespace

std::uint32_t RecordStore::HashOf(const RecordKey& key, const Record& record) {
  const auto& [first, second, rank, text] = VersionOf(record);
  // A suspicion is not repaired: it is either refuted or becomes a death.
  const bool is_member = std::holds_alternative<MemberRecord>(record);
  std::string bytes(1, static_cast<char>(key.kind));
  bytes += key.text;
  for (const std::uint64_t number :
       {first, second, is_member ? 0 : std::uint64_t{rank}})
    bytes.append(reinterpret_cast<const char*>(&number), sizeof(number));
  bytes += text;
  return static_cast<std::uint32_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::size_t RecordStore::BucketOf(const RecordKey& key) {
  return XXH3_64bits_withSeed(key.text.data(), key.text.size(), key.kind) %
         kBuckets;
}

void RecordStore::Toggle(const RecordKey& key, const Entry& entry) {
  if (!IsTombstone(entry.record))
    hashes_[IndexOf(ScopeOf(entry.record))][BucketOf(key)] ^= entry.hash;
}

PutOutcome RecordStore::Put(const Record& record,
                            int transmissions,
                            base::Instant now) {
  RecordKey key = KeyOf(record);
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const auto order = VersionOf(record) <=> VersionOf(found->second.record);
    if (std::is_eq(order))
      CountTransmission(key, found->second);
    if (std::is_lteq(order))
      return PutOutcome::kNotNewer;
    Toggle(key, found->second);
    StopPassingOn(key, found->second);
  }
  Entry& entry = entries_[key];
  entry = Entry{.record = record,
                .size = EncodedSize(record),
                .hash = HashOf(key, record),
                .transmissions_left = transmissions,
                .stored_at = now};
  Toggle(key, entry);
  if (transmissions > 0) {
    PendingOrder order(
        0, std::numeric_limits<std::uint64_t>::max() - ++sequence_, key);
    pending_[IndexOf(ScopeOf(record))].insert(order);
    pending_position_.emplace(std::move(key), std::move(order));
  }
  return PutOutcome::kStored;
}

void RecordStore::StopPassingOn(const RecordKey& key, const Entry& entry) {
  const auto position = pending_position_.find(key);
  if (position == pending_position_.end())
    return;
  pending_[IndexOf(ScopeOf(entry.record))].erase(position->second);
  pending_position_.erase(position);
}

void RecordStore::CountTransmission(const RecordKey& key, Entry& entry) {
  const auto position = pending_position_.find(key);
  if (position == pending_position_.end())
    return;
  PendingOrder order = position->second;
  StopPassingOn(key, entry);
  ++entry.transmissions_done;
  if (--entry.transmissions_left == 0)
    return;
  std::get<int>(order) = entry.transmissions_done;
  pending_[IndexOf(ScopeOf(entry.record))].insert(order);
  pending_position_.emplace(key, std::move(order));
}

const Record* RecordStore::Find(const RecordKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.record;
}

base::Instant RecordStore::StoredAt(const RecordKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? base::Instant{} : found->second.stored_at;
}

bool RecordStore::HasPending(RecordScope scope) const {
  return !pending_[IndexOf(scope)].empty();
}

std::vector<Record> RecordStore::TakePending(RecordScope widest,
                                             std::size_t bytes) {
  // Domain records first: they concern work that waits.
  std::vector<Record> taken;
  std::vector<RecordKey> passed_on;
  for (std::size_t scope = IndexOf(widest) + 1; scope-- > 0;) {
    for (const PendingOrder& order : pending_[scope]) {
      const Entry& entry = entries_.at(std::get<RecordKey>(order));
      if (entry.size > bytes || taken.size() == 255)
        break;
      bytes -= entry.size;
      taken.push_back(entry.record);
      passed_on.push_back(std::get<RecordKey>(order));
    }
  }
  for (const RecordKey& key : passed_on)
    CountTransmission(key, entries_.at(key));
  return taken;
}

void RecordStore::TrimPending(int transmissions) {
  for (auto& pending : pending_) {
    while (!pending.empty() &&
           std::get<int>(*pending.rbegin()) >= transmissions) {
      pending_position_.erase(std::get<RecordKey>(*pending.rbegin()));
      pending.erase(std::prev(pending.end()));
    }
  }
}

std::uint32_t RecordStore::DigestOf(RecordScope scope) const {
  const Hashes& hashes = hashes_[IndexOf(scope)];
  return static_cast<std::uint32_t>(XXH3_64bits(hashes.data(), sizeof(hashes)));
}

const RecordStore::Hashes& RecordStore::BucketHashes(RecordScope scope) const {
  return hashes_[IndexOf(scope)];
}

std::vector<Record> RecordStore::Bucket(RecordScope scope,
                                        const BucketSet& buckets,
                                        std::size_t bytes,
                                        std::uint64_t start) const {
  std::vector<const Entry*> matches;
  for (const auto& [key, entry] : entries_) {
    if (ScopeOf(entry.record) == scope && buckets[BucketOf(key)])
      matches.push_back(&entry);
  }
  std::vector<Record> records;
  for (std::size_t i = 0; i < matches.size() && records.size() < 255; ++i) {
    const Entry& entry = *matches[(start + i) % matches.size()];
    if (entry.size > bytes)
      break;
    bytes -= entry.size;
    records.push_back(entry.record);
  }
  return records;
}

std::vector<Record> RecordStore::All(RecordScope widest) const {
  std::vector<Record> records;
  for (const auto& [key, entry] : entries_) {
    if (ScopeOf(entry.record) <= widest)
      records.push_back(entry.record);
  }
  return records;
}

void RecordStore::DropTombstones(base::Instant member_limit,
                                 base::Instant upstream_limit) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [key, entry] = item;
    const bool is_member = std::holds_alternative<MemberRecord>(entry.record);
    return IsTombstone(entry.record) && !pending_position_.contains(key) &&
           entry.stored_at < (is_member ? member_limit : upstream_limit);
  });
}

}  // namespace wigeonstair::membership
