#ifndef WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_

#include <cstdint>
#include <map>
#include <string>

namespace wigeonstair::jobs {

// Estimates run times of the tasks of a queue from those of completed tasks.
class RunTimes {
 public:
  // `estimate_ms` is the declared run time of the same task.
  void Record(const std::string& queue, double run_ms, double estimate_ms);
  // The expected run time in milliseconds of a task with this declared run
  // time.
  double ExpectedMs(const std::string& queue, double estimate_ms) const;

 private:
  struct Mean {
    double run_ms = 0;
    double ratio = 1;
    std::uint32_t samples = 0;
  };
  std::map<std::string, Mean> means_;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIMES_H_
