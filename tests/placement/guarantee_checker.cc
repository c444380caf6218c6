#include "tests/placement/guarantee_checker.h"

#include <algorithm>

namespace wigeonstair::placement {

namespace {

struct CheckedCell {
  int customer = 0;
  int accelerators = 0;
  // True for a cell that consists of whole workers of one rack.
  bool spans_workers = false;
};

class Search {
 public:
  Search(std::vector<CheckedWorker> workers, std::vector<CheckedCell> cells)
      : workers_(std::move(workers)), cells_(std::move(cells)) {}

  bool Run(std::size_t index) {
    if (index == cells_.size())
      return AllCoveredInside();
    return cells_[index].spans_workers
               ? PlaceOnSeveralWorkers(index, 0, cells_[index].accelerators, -1)
               : PlaceOnOneWorker(index);
  }

 private:
  bool AllCoveredInside() const {
    return std::all_of(
        workers_.begin(), workers_.end(), [](const CheckedWorker& worker) {
          return std::all_of(
              worker.covered.begin(), worker.covered.end(),
              [](const auto& entry) { return entry.second <= 0; });
        });
  }

  // A negative value of `covered` is cell capacity that is not in use.
  void Take(CheckedWorker& worker, int customer, int accelerators) {
    worker.accelerators -= accelerators;
    worker.covered[customer] -= accelerators;
  }

  bool PlaceOnOneWorker(std::size_t index) {
    const CheckedCell& cell = cells_[index];
    for (std::size_t i = 0; i < workers_.size(); ++i) {
      CheckedWorker& worker = workers_[i];
      if (worker.accelerators < cell.accelerators || EqualsEarlierWorker(i))
        continue;
      Take(worker, cell.customer, cell.accelerators);
      if (Run(index + 1))
        return true;
      Take(worker, cell.customer, -cell.accelerators);
    }
    return false;
  }

  // True when an earlier worker is in the same state, so that placing the cell
  // on this one gives the same result.
  bool EqualsEarlierWorker(std::size_t index) const {
    for (std::size_t i = 0; i < index; ++i) {
      if (workers_[i].rack == workers_[index].rack &&
          workers_[i].accelerators == workers_[index].accelerators &&
          workers_[i].covered == workers_[index].covered)
        return true;
    }
    return false;
  }

  bool PlaceOnSeveralWorkers(std::size_t index,
                             std::size_t first,
                             int left,
                             int rack) {
    if (left <= 0)
      return Run(index + 1);
    const int customer = cells_[index].customer;
    for (std::size_t i = first; i < workers_.size(); ++i) {
      CheckedWorker& worker = workers_[i];
      const int whole = worker.accelerators;
      if (whole == 0 || whole != kWorkerAccelerators ||
          (rack >= 0 && worker.rack != rack))
        continue;
      Take(worker, customer, whole);
      if (PlaceOnSeveralWorkers(index, i + 1, left - whole, worker.rack))
        return true;
      Take(worker, customer, -whole);
    }
    return false;
  }

  static constexpr int kWorkerAccelerators = 4;

  std::vector<CheckedWorker> workers_;
  std::vector<CheckedCell> cells_;
};

}  // namespace

bool CanProvideAllGuarantees(
    std::vector<CheckedWorker> workers,
    const std::vector<cluster::CustomerConfiguration>& customers) {
  std::vector<CheckedCell> cells;
  for (std::size_t i = 0; i < customers.size(); ++i) {
    for (const cluster::Guarantee& guarantee : customers[i].guarantees) {
      cells.insert(cells.end(), guarantee.count,
                   {.customer = static_cast<int>(i),
                    .accelerators = guarantee.shape.accelerators,
                    .spans_workers =
                        guarantee.shape.level == cluster::CellLevel::kRack});
    }
  }
  std::stable_sort(cells.begin(), cells.end(),
                   [](const CheckedCell& left, const CheckedCell& right) {
                     return left.accelerators > right.accelerators;
                   });
  return Search(std::move(workers), std::move(cells)).Run(0);
}

}  // namespace wigeonstair::placement
