#include "routing/snapshot_publisher.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::routing {

namespace {

// Marks a slot as claimed until its reader has loaded the snapshot pointer.
// Never dereferenced.
const Snapshot kReserved{};

// Spreads the threads over the slots, so that each usually finds its first slot
// free and in its own cache.
std::size_t FirstSlotOfThread() {
  static std::atomic<std::size_t> next{0};
  thread_local const std::size_t kFirst =
      next.fetch_add(1, std::memory_order_relaxed);
  return kFirst;
}

}  // namespace

SnapshotPublisher::Reader::~Reader() {
  slot_->store(nullptr, std::memory_order_release);
}

SnapshotPublisher::SnapshotPublisher(std::unique_ptr<const Snapshot> first,
                                     PublisherFault fault)
    : fault_(fault), current_(first.release()) {}

SnapshotPublisher::~SnapshotPublisher() {
  delete current_.load();
}

std::atomic<const Snapshot*>* SnapshotPublisher::ClaimSlot() const {
  for (std::size_t index = FirstSlotOfThread();; ++index) {
    std::atomic<const Snapshot*>& slot = slots_[index % kSlots].snapshot;
    const Snapshot* free = nullptr;
    if (slot.load(std::memory_order_relaxed) == nullptr &&
        slot.compare_exchange_strong(free, &kReserved,
                                     std::memory_order_acq_rel))
      return &slot;
  }
}

SnapshotPublisher::Reader SnapshotPublisher::Read() const {
  std::atomic<const Snapshot*>* slot = ClaimSlot();
  const Snapshot* snapshot = current_.load(std::memory_order_acquire);
  for (;;) {
    // The store must be visible before the second load, because Publish()
    // replaces `current_` before it reads the slots. If the snapshot was
    // replaced in between, the store may have come too late; try the new one.
    slot->store(snapshot, std::memory_order_seq_cst);
    const Snapshot* again = current_.load(std::memory_order_seq_cst);
    if (again == snapshot)
      return Reader(slot, snapshot);
    snapshot = again;
  }
}

void SnapshotPublisher::Publish(std::unique_ptr<const Snapshot> next) {
  const std::lock_guard lock(publish_mutex_);
  retired_.emplace_back(
      current_.exchange(next.release(), std::memory_order_seq_cst));
  std::vector<const Snapshot*> in_use;
  for (const Slot& slot : slots_) {
    const Snapshot* snapshot = slot.snapshot.load(std::memory_order_seq_cst);
    if (snapshot != nullptr && fault_ == PublisherFault::kNone)
      in_use.push_back(snapshot);
  }
  std::erase_if(retired_, [&](const auto& snapshot) {
    return std::find(in_use.begin(), in_use.end(), snapshot.get()) ==
           in_use.end();
  });
}

std::size_t SnapshotPublisher::retired_count() const {
  const std::lock_guard lock(publish_mutex_);
  return retired_.size();
}

}  // namespace wigeonstair::routing
