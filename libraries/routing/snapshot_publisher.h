#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_PUBLISHER_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_PUBLISHER_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "routing/snapshot.h"

namespace wigeonstair::routing {

// Faults that tests inject to prove that a check detects them. For tests only.
enum class PublisherFault : std::uint8_t {
  kNone,
  kIgnoreReaders,  // Frees a replaced snapshot at once.
};

// Publishes snapshots to readers that take no lock and never wait for the
// publisher, with hazard pointers: each reader stores a pointer to the snapshot
// that it uses in a hazard slot, and a replaced snapshot is freed by a
// Publish() that finds it in no slot. std::atomic<std::shared_ptr> is not used
// because it takes a lock internally in libstdc++ 12.
class SnapshotPublisher {
 public:
  // More than the number of concurrent readers; a reader that finds no free
  // slot retries.
  static constexpr std::size_t kSlots = 256;

  // Keeps one snapshot alive. Meant to be held for one routing decision at
  // most.
  class Reader {
   public:
    ~Reader();
    Reader(const Reader&) = delete;
    Reader& operator=(const Reader&) = delete;

    const Snapshot& operator*() const { return *snapshot_; }
    const Snapshot* operator->() const { return snapshot_; }

   private:
    friend class SnapshotPublisher;
    Reader(std::atomic<const Snapshot*>* slot, const Snapshot* snapshot)
        : slot_(slot), snapshot_(snapshot) {}

    std::atomic<const Snapshot*>* slot_;
    const Snapshot* snapshot_;
  };

  explicit SnapshotPublisher(std::unique_ptr<const Snapshot> first,
                             PublisherFault fault = PublisherFault::kNone);
  // Requires that no reader is active.
  ~SnapshotPublisher();
  SnapshotPublisher(const SnapshotPublisher&) = delete;
  SnapshotPublisher& operator=(const SnapshotPublisher&) = delete;

  // Lock-free. May be called by any thread.
  Reader Read() const;
  // May be called by any thread; calls are serialized.
  void Publish(std::unique_ptr<const Snapshot> next);

  // Number of replaced snapshots that were not freed yet, because readers used
  // them at the last Publish().
  std::size_t retired_count() const;

 private:
  struct alignas(64) Slot {
    std::atomic<const Snapshot*> snapshot{nullptr};
  };

  std::atomic<const Snapshot*>* ClaimSlot() const;

  PublisherFault fault_;
  std::atomic<const Snapshot*> current_;
  mutable std::array<Slot, kSlots> slots_;
  mutable std::mutex publish_mutex_;
  std::vector<std::unique_ptr<const Snapshot>> retired_;
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SNAPSHOT_PUBLISHER_H_
