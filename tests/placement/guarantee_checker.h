#ifndef WIGEONSTAIR_TESTS_PLACEMENT_GUARANTEE_CHECKER_H_
#define WIGEONSTAIR_TESTS_PLACEMENT_GUARANTEE_CHECKER_H_

#include <map>
#include <vector>

#include "cluster/configuration.h"

namespace wigeonstair::placement {

struct CheckedWorker {
  int rack = 0;
  int accelerators = 0;
  // Accelerators in guaranteed use, by customer position.
  std::map<int, int> covered = {};
};

// Searches all placements of the guaranteed cells of all customers. True when
// in some placement every guaranteed task lies in cells of its customer;
// stopping all other tasks then provides the rest of every guarantee. An
// independent reference for the engine, with which it shares no code.
// Exponential, so for few workers.
bool CanProvideAllGuarantees(
    std::vector<CheckedWorker> workers,
    const std::vector<cluster::CustomerConfiguration>& customers);

}  // namespace wigeonstair::placement

#endif  // WIGEONSTAIR_TESTS_PLACEMENT_GUARANTEE_CHECKER_H_
