// A sound worker as PROTOCOL.md describes it, for tasks without gangs and for
// gangs that are whole on one worker.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_WORKER_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_WORKER_HPP_

#include <string>
#include <vector>

#include "http.hpp"

namespace review {

struct WorkerOptions {
  std::string id;
  std::string zone;
  std::string rack;
  std::string service;
  Address address;
  // Serve `control`.
  std::vector<Address> control;
  int heartbeat_ms = 1500;
  int longest_lease_ms = 6000;
};

// Runs a worker. A task works for as many milliseconds as its Spec says. Its
// starts and ends go into the record. Does not return.
void RunWorker(const WorkerOptions& options);

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_WORKER_HPP_
