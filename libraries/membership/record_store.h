#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_STORE_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/monotonic_clock.h"
#include "membership/message.h"
#include "membership/record.h"

namespace wigeonstair::membership {

enum class PutOutcome { kStored, kNotNewer };

// The newest record of each key, the records that still have to be passed on,
// and the digests of both scopes. Pure.
class RecordStore {
 public:
  using Hashes = std::array<std::uint32_t, kBuckets>;

  // Stores the record unless the one at hand is as new or newer. A stored
  // record is passed on `transmissions` times, less the times that it arrives
  // again: others pass it on as well.
  PutOutcome Put(const Record& record, int transmissions, base::Instant now);

  const Record* Find(const RecordKey& key) const;
  template <typename T>
  const T* FindAs(const RecordKey& key) const {
    const Record* record = Find(key);
    return record == nullptr ? nullptr : std::get_if<T>(record);
  }

  template <typename T, typename Visitor>
  void ForEach(const Visitor& visitor) const {
    for (const auto& [key, entry] : entries_) {
      if (const auto* record = std::get_if<T>(&entry.record))
        visitor(*record);
    }
  }

  // When the record at hand was stored.
  base::Instant StoredAt(const RecordKey& key) const;

  bool HasPending(RecordScope scope) const;
  // Takes records that fit into `bytes`, those that were passed on least first.
  // kDomain records only go to hosts of the own domain.
  std::vector<Record> TakePending(RecordScope widest, std::size_t bytes);

  // Gives up passing on the records that were passed on this often.
  void TrimPending(int transmissions);

  // Hash over all records but tombstones.
  std::uint32_t DigestOf(RecordScope scope) const;
  const Hashes& BucketHashes(RecordScope scope) const;
  // Records of these buckets that fit into `bytes`, tombstones
  // included, from `start` on in key order and around.
  std::vector<Record> Bucket(RecordScope scope,
                             const BucketSet& buckets,
                             std::size_t bytes,
                             std::uint64_t start) const;

  std::vector<Record> All(RecordScope widest) const;
  // Forgets tombstones of this kind that were stored before `limit`.
  void DropTombstones(base::Instant member_limit, base::Instant upstream_limit);

 private:
  struct Entry {
    Record record;
    std::size_t size = 0;
    std::uint32_t hash = 0;
    int transmissions_left = 0;
    int transmissions_done = 0;
    base::Instant stored_at;
  };
  // Transmissions done, sequence (newer first), key.
  using PendingOrder = std::tuple<int, std::uint64_t, RecordKey>;

  static std::uint32_t HashOf(const RecordKey& key, const Record& record);
  static std::size_t BucketOf(const RecordKey& key);
  void Toggle(const RecordKey& key, const Entry& entry);
  // Counts one transmission of a pending record.
  void CountTransmission(const RecordKey& key, Entry& entry);
  void StopPassingOn(const RecordKey& key, const Entry& entry);

  std::map<RecordKey, Entry> entries_;
  // One for each scope.
  std::array<std::set<PendingOrder>, 2> pending_;
  std::map<RecordKey, PendingOrder> pending_position_;
  std::array<Hashes, 2> hashes_{};
  std::uint64_t sequence_ = 0;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_STORE_H_
