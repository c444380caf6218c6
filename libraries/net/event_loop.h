#ifndef WIGEONSTAIR_LIBRARIES_NET_EVENT_LOOP_H_
#define WIGEONSTAIR_LIBRARIES_NET_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "base/monotonic_clock.h"

namespace wigeonstair::net {

struct EventLoopOptions {
  // One thread runs all callbacks of the loop in sequence.
  int threads = 1;
};

// Runs socket and timer callbacks on its own threads. Owned by a process for
// its whole life; the servers, channels and sockets on it must go first.
class EventLoop {
 public:
  using TimerId = std::uint64_t;

  explicit EventLoop(EventLoopOptions options = {});
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs `callback` on a loop thread soon.
  void Post(std::function<void()> callback);
  // Runs `callback` once after `delay`.
  TimerId Schedule(base::Duration delay, std::function<void()> callback);
  // Runs `callback` every `interval` until cancelled.
  TimerId ScheduleEvery(base::Duration interval,
                        std::function<void()> callback);
  // A callback that already runs is not interrupted.
  void Cancel(TimerId timer);
  // Stops the threads after the running callbacks. Idempotent.
  void Stop();

  struct Implementation;
  // For the other classes of this library; Asio stays out of headers.
  Implementation& implementation() { return *implementation_; }

 private:
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_EVENT_LOOP_H_
