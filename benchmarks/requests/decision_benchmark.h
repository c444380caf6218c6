#ifndef WIGEONSTAIR_BENCHMARKS_REQUESTS_DECISION_BENCHMARK_H_
#define WIGEONSTAIR_BENCHMARKS_REQUESTS_DECISION_BENCHMARK_H_

#include "benchmarks/requests/report.h"
#include "routing/choose.h"

namespace wigeonstair::benchmarks {

struct DecisionTimes {
  // Over batches of decisions, per decision.
  double median_nanoseconds = 0;
  double p99_nanoseconds = 0;
};

// Time to read the snapshot, choose an upstream with a slot and give the slot
// back, on 8 threads while the snapshot is replaced 100 times a second.
DecisionTimes MeasureDecisions(int upstreams, routing::SelectionPolicy policy);

}  // namespace wigeonstair::benchmarks

#endif  // WIGEONSTAIR_BENCHMARKS_REQUESTS_DECISION_BENCHMARK_H_
