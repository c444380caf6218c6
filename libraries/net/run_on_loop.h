#ifndef WIGEONSTAIR_LIBRARIES_NET_RUN_ON_LOOP_H_
#define WIGEONSTAIR_LIBRARIES_NET_RUN_ON_LOOP_H_

#include <future>
#include <memory>
#include <utility>

#include "net/event_loop.h"

namespace wigeonstair::net {

// Runs `callable` on a loop thread and waits for its result. Must not be called
// on a loop thread.
template <typename Callable>
auto RunOnLoop(EventLoop& loop, Callable callable) -> decltype(callable()) {
  auto task = std::make_shared<std::packaged_task<decltype(callable())()>>(
      std::move(callable));
  auto result = task->get_future();
  loop.Post([task] { (*task)(); });
  return result.get();
}

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_RUN_ON_LOOP_H_
