#include "load/load_runner.h"

#include <algorithm>
#include <thread>
#include <utility>
#include <variant>

namespace wigeonstair::load {

namespace {

// How often a waiting run looks for Stop().
constexpr base::Duration kStopCheck = std::chrono::milliseconds(50);

}  // namespace

LoadRunner::LoadRunner(LoadOptions options)
    : options_(std::move(options)),
      client_({.trusted_certificates = options_.trusted_certificates}) {
  report_.wanted_rate = options_.rate;
}

LoadReport LoadRunner::Run() {
  const base::Instant start = base::MonotonicClock::now();
  const base::Instant end = start + options_.duration;
  for (std::int64_t number = 0; number < options_.count; ++number) {
    PlannedRequest request =
        Plan(options_, number, start, std::chrono::milliseconds(0));
    if (!WaitForTurn(request.intended, end))
      break;
    request.issued = base::WallClockNow();
    {
      const std::lock_guard lock(mutex_);
      ++in_flight_;
      report_.send_delay.Add(base::MonotonicClock::now() - request.intended);
    }
    SendAttempt({.request = std::move(request)});
  }
  std::unique_lock lock(mutex_);
  place_free_.wait(lock, [this] { return in_flight_ == 0; });
  report_.elapsed = base::MonotonicClock::now() - start;
  return report_;
}

bool LoadRunner::WaitForTurn(base::Instant intended, base::Instant end) {
  if (intended >= end)
    return false;
  while (!stopping_) {
    const base::Duration left = intended - base::MonotonicClock::now();
    if (left <= base::Duration::zero())
      break;
    std::this_thread::sleep_for(std::min(left, kStopCheck));
  }
  std::unique_lock lock(mutex_);
  while (!stopping_ && in_flight_ >= options_.maximum_in_flight)
    place_free_.wait_for(lock, kStopCheck);
  return !stopping_ && base::MonotonicClock::now() < end;
}

void LoadRunner::SendAttempt(Progress progress) {
  net::HttpCall call = BuildCall(options_, progress.request, progress.attempt);
  client_.Send(std::move(call), [this, progress = std::move(progress)](
                                    const net::HttpOutcome& outcome) mutable {
    OnOutcome(std::move(progress), outcome);
  });
}

void LoadRunner::OnOutcome(Progress progress, const net::HttpOutcome& outcome) {
  const AttemptResult result = Classify(options_, progress.request, outcome);
  if (result != AttemptResult::kNotRun)
    progress.every_attempt_not_run = false;
  {
    const std::lock_guard lock(mutex_);
    report_.attempts.Add(result);
    if (const auto* answer = std::get_if<net::HttpAnswer>(&outcome))
      ++report_.statuses[answer->response.status];
  }
  if (!WantsResend(progress, result)) {
    Finish(progress, result);
    return;
  }
  ++progress.attempt;
  loop_.Schedule(options_.resend_delay,
                 [this, progress] { SendAttempt(progress); });
}

bool LoadRunner::WantsResend(const Progress& progress,
                             AttemptResult result) const {
  return result != AttemptResult::kAnswered &&
         result != AttemptResult::kCrossed && !stopping_ &&
         progress.attempt < options_.resends;
}

void LoadRunner::Finish(const Progress& progress, AttemptResult result) {
  const base::Instant now = base::MonotonicClock::now();
  const std::lock_guard lock(mutex_);
  report_.requests.Add(result);
  if (result == AttemptResult::kAnswered)
    report_.latency.Add(now - progress.request.intended);
  if (!progress.request.idempotent) {
    KeyFate fate = KeyFate::kUnclear;
    if (result == AttemptResult::kAnswered)
      fate = KeyFate::kAnswered;
    else if (progress.every_attempt_not_run)
      fate = KeyFate::kNotRun;
    report_.keys[progress.request.token] = fate;
  }
  --in_flight_;
  place_free_.notify_all();
}

}  // namespace wigeonstair::load
