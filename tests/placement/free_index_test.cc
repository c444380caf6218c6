#include "placement/free_index.h"

#include <catch2/catch.hpp>

#include "base/random.h"

namespace wigeonstair::placement {

namespace {

constexpr int kWorkers = 12;
constexpr Resources kSmall{.accelerators = 4, .cores = 16};
constexpr Resources kLarge{.accelerators = 8, .cores = 64};

// Reference implementation: a linear scan of all workers.
std::optional<SlotIndex> FindBestByScan(const CellHierarchy& hierarchy,
                                        const GuaranteeLedger& ledger,
                                        const Resources& task) {
  std::optional<std::pair<std::int64_t, SlotIndex>> best;
  for (SlotIndex i = 0; i < static_cast<int>(hierarchy.slots().size()); ++i) {
    const Slot& slot = hierarchy.slot(i);
    const Resources free = hierarchy.Free(i);
    if (!slot.usable() || CountFitting(task, free, 1) == 0)
      continue;
    const std::pair found{
        BorrowScore(task, 1, free,
                    ShareOf(slot.capacity, free.accelerators).cores,
                    ledger.Slack(hierarchy, i), ScoredFailures(slot)),
        i};
    if (!best || found < *best)
      best = found;
  }
  return best ? std::optional(best->second) : std::nullopt;
}

// A domain with twelve workers to which random changes are applied.
class ChangingDomain {
 public:
  explicit ChangingDomain(std::uint64_t seed) : random_(seed) {
    cluster::CustomerConfiguration customer;
    customer.guarantees = {{.domain = base::DomainId("enns"),
                            .shape = {cluster::CellLevel::kWorker, 2},
                            .count = 5}};
    Attach();
    ledger_.Rebuild(hierarchy_, base::DomainId("enns"), {customer});
  }

  void Change() {
    const auto slot = static_cast<SlotIndex>(random_.Below(kWorkers));
    switch (random_.Below(6)) {
      case 0:
        hierarchy_.Measure(slot, {.cores = static_cast<int>(random_.Below(16))},
                           now_);
        return;
      case 1:
        hierarchy_.slot(slot).health.consecutive_failures =
            static_cast<int>(random_.Below(3));
        return;
      case 2:
        hierarchy_.slot(slot).earmarked = {
            .accelerators = static_cast<int>(random_.Below(3))};
        return;
      case 3:
        Release();
        return;
      default:
        Hold(slot);
    }
  }

  CellHierarchy& hierarchy() { return hierarchy_; }
  GuaranteeLedger& ledger() { return ledger_; }
  Resources AnyTask() {
    return {.accelerators = static_cast<int>(random_.Below(5)),
            .cores = 1 + static_cast<int>(random_.Below(8))};
  }

 private:
  struct Held {
    SlotIndex slot;
    Resources resources;
    AcceleratorMask accelerators;
  };

  void Attach() {
    for (int i = 0; i < kWorkers; ++i) {
      hierarchy_.Attach(base::WorkerId(std::to_string(i)), base::RackId("rack"),
                        i % 2 == 0 ? kSmall : kLarge);
    }
  }
  void Hold(SlotIndex slot) {
    const Resources task = AnyTask();
    if (CountFitting(task, hierarchy_.Free(slot), 1) == 0)
      return;
    held_.push_back({slot, task, hierarchy_.Hold(slot, task, {}, now_)});
  }
  void Release() {
    if (held_.empty())
      return;
    const Held held = held_.back();
    held_.pop_back();
    hierarchy_.Release(held.slot, held.resources, held.accelerators, {}, now_);
  }

  base::Random random_;
  base::Instant now_{std::chrono::seconds(1000)};
  CellHierarchy hierarchy_;
  GuaranteeLedger ledger_;
  std::vector<Held> held_;
};

}  // namespace

// Guards against an index that misses a change of a worker, and against a best
// fit that differs from the result of a linear scan.
TEST_CASE("the free index finds the same best fit as a linear scan") {
  ChangingDomain domain(7);
  FreeIndex index;
  int found = 0;
  for (int i = 0; i < 5000; ++i) {
    domain.Change();
    const Resources task = domain.AnyTask();
    index.Refresh(domain.hierarchy(), domain.ledger());
    const auto best =
        index.FindBest(task, [](SlotIndex, const Resources&) { return true; });
    REQUIRE(best == FindBestByScan(domain.hierarchy(), domain.ledger(), task));
    found += best ? 1 : 0;
  }
  CHECK(found > 1000);
}

}  // namespace wigeonstair::placement
