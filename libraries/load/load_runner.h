#ifndef WIGEONSTAIR_LIBRARIES_LOAD_LOAD_RUNNER_H_
#define WIGEONSTAIR_LIBRARIES_LOAD_LOAD_RUNNER_H_

#include <atomic>
#include <condition_variable>
#include <mutex>

#include "load/load_plan.h"
#include "load/load_report.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace wigeonstair::load {

// Sends the planned requests at their times and collects the report.
class LoadRunner {
 public:
  explicit LoadRunner(LoadOptions options);

  // Blocks until all requests have ended. Call once.
  LoadReport Run();
  // Sends no further request; those in progress end. Any thread.
  void Stop() { stopping_ = true; }

 private:
  // A request and what its attempts gave so far.
  struct Progress {
    PlannedRequest request;
    int attempt = 0;
    bool every_attempt_not_run = true;
  };

  void SendAttempt(Progress progress);
  void OnOutcome(Progress progress, const net::HttpOutcome& outcome);
  bool WantsResend(const Progress& progress, AttemptResult result) const;
  void Finish(const Progress& progress, AttemptResult result);
  // Waits until the intended time and until a place is free. False when the
  // run is over.
  bool WaitForTurn(base::Instant intended, base::Instant end);

  const LoadOptions options_;
  net::HttpClient client_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable place_free_;
  int in_flight_ = 0;
  LoadReport report_;
  // Stopped before the other members go.
  net::EventLoop loop_;
};

}  // namespace wigeonstair::load

#endif  // WIGEONSTAIR_LIBRARIES_LOAD_LOAD_RUNNER_H_
