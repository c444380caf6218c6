#include "net/http_threads.h"

#include <pplx/pplxtasks.h>
#include <pplx/threadpool.h>

#include <boost/asio/defer.hpp>
#include <exception>
#include <memory>
#include <utility>

#include "net/http_timers.h"

namespace wigeonstair::net {

namespace {

#pragma GCC diagnostic push
// The interface of pplx has no virtual destructor; a shared pointer made from
// the derived type destroys it correctly.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

// Runs a continuation on the thread that completed the task before it, after
// its present step. The default scheduler posts each continuation, which wakes
// another thread: 940,000 context switches in a run of the HTTP benchmark, and
// 650,000 with this one.
class DeferringScheduler final : public pplx::scheduler_interface {
 public:
  void schedule(pplx::TaskProc_t procedure, void* argument) override {
    boost::asio::defer(crossplat::threadpool::shared_instance().service(),
                       [procedure, argument] { procedure(argument); });
  }
};

#pragma GCC diagnostic pop

}  // namespace

std::function<void()> RunAfter(base::Duration delay,
                               std::function<void()> callback) {
  const HttpTimers::Id id =
      HttpTimers::Shared().Start(delay, std::move(callback));
  return [id] { HttpTimers::Shared().Cancel(id); };
}

bool UseHttpThreads(int count) {
  try {
    crossplat::threadpool::initialize_with_threads(
        static_cast<std::size_t>(count));
  } catch (const std::exception&) {
    // The pool is in use already.
    return false;
  }
  pplx::set_ambient_scheduler(std::make_shared<DeferringScheduler>());
  return true;
}

}  // namespace wigeonstair::net
