// What the test programs share: a small deployment and the end of a test.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_2_CASE_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_2_CASE_HPP_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "harness.hpp"

namespace review {

inline constexpr char kHost[] = "h.example";
inline constexpr char kPrefix[] = "/jobs/";
inline constexpr char kTenant[] = "tenant-1";
inline constexpr char kKey[] = "d4a3hwrr6x73d3zji9n7";

// Runs a test: 1 when the rule was broken, 0 when it held, 2 when the test
// could not run. The first argument names the record.
int RunCase(int count, char** arguments, const std::function<bool()>& broken);

// A job identifier that no other call returned.
std::string NewId();

// The body of a job of one step.
std::string JobBody(int count,
                    const Capacity& task,
                    int estimate_ms,
                    const std::string& more = "");

// A system that has formed and holds a manifest, and its workers.
class Deployment {
 public:
  Deployment(int cores,
             int fronts,
             std::vector<std::string> zones,
             Bounds bounds = {});

  Platform& platform() { return platform_; }
  Fleet& fleet() { return fleet_; }
  std::vector<std::unique_ptr<Worker>>& workers() { return workers_; }

  // Starts the processes and puts the manifest.
  void Begin(const std::string& manifest);
  // Adds a worker; `controls` are all nodes when empty.
  void AddWorker(const std::string& id,
                 const std::string& service,
                 const std::string& zone,
                 const std::string& rack,
                 Capacity capacity = {},
                 std::vector<std::string> controls = {},
                 std::string ip = {},
                 LateStarts* late_starts = nullptr,
                 bool cut = false);
  // Waits until the nodes are ready and all workers were acknowledged.
  void AwaitReady();
  // Waits until the last `count` workers were acknowledged.
  void AwaitNewWorkers(int count);
  // The core that leads.
  int Leader();

 private:
  Platform platform_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Worker>> workers_;
  const int fronts_;
};

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_2_CASE_HPP_
