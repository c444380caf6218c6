#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_TIMERS_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_TIMERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

#include "base/monotonic_clock.h"

namespace wigeonstair::net {

// Timers on the threads of the HTTP library. Most of them are cancelled long
// before they are due, and cancelling a timer of Asio completes it on one of
// its threads, which wakes that thread. Here one timer of Asio stands for all:
// it is set to the earliest time and left alone when that one is cancelled.
// Thread-safe.
class HttpTimers {
 public:
  // The time and the order of insertion.
  using Id = std::pair<std::int64_t, std::uint64_t>;

  // The timers of this process. Never destroyed, because the threads of the
  // HTTP library may outlive other static objects.
  static HttpTimers& Shared();

  HttpTimers();
  ~HttpTimers();
  HttpTimers(const HttpTimers&) = delete;
  HttpTimers& operator=(const HttpTimers&) = delete;

  // Runs the callback once after the delay unless it is cancelled before.
  Id Start(base::Duration delay, std::function<void()> callback);
  // Without effect on a timer that was due. The callback may still be running.
  void Cancel(const Id& id);

 private:
  struct Implementation;

  // Both are called with the mutex held.
  void Arm(std::int64_t due);
  void ArmEarliest();
  void OnDue();

  std::unique_ptr<Implementation> implementation_;
  std::mutex mutex_;
  std::uint64_t order_ = 0;
  std::map<Id, std::function<void()>> waiting_;
  // When the timer of Asio is due, in nanoseconds of the steady clock.
  std::int64_t armed_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_TIMERS_H_
