#include "net/event_loop.h"

#include <algorithm>
#include <chrono>

#include "net/loop_object.h"

namespace wigeonstair::net {

namespace {

thread_local const EventLoop::Implementation* loop_of_this_thread = nullptr;

}  // namespace

bool EventLoop::Implementation::RunsInThisThread() const {
  return loop_of_this_thread == this;
}

EventLoop::TimerId EventLoop::Implementation::Start(
    base::Duration delay,
    base::Duration interval,
    std::function<void()> callback) {
  auto timer = std::make_shared<Timer>(context);
  timer->callback = std::move(callback);
  timer->interval = interval;
  timer->timer.expires_after(delay);
  const std::lock_guard lock(mutex);
  const TimerId id = ++last_timer;
  timers.emplace(id, timer);
  Wait(id, timer);
  return id;
}

void EventLoop::Implementation::Wait(TimerId id,
                                     const std::shared_ptr<Timer>& timer) {
  timer->timer.async_wait([this, id](const error_code& error) {
    if (!error)
      Fire(id);
  });
}

void EventLoop::Implementation::Fire(TimerId id) {
  std::shared_ptr<Timer> timer;
  {
    const std::lock_guard lock(mutex);
    const auto found = timers.find(id);
    if (found == timers.end())
      return;
    timer = found->second;
    if (timer->interval == base::Duration::zero())
      timers.erase(found);
  }
  timer->callback();
  const std::lock_guard lock(mutex);
  if (timer->interval == base::Duration::zero() || !timers.contains(id))
    return;
  // Periods that were missed, for example in a freeze, are not made up for.
  const auto next = timer->timer.expiry() + timer->interval;
  timer->timer.expires_at(std::max(next, std::chrono::steady_clock::now()));
  Wait(id, timer);
}

EventLoop::EventLoop(EventLoopOptions options)
    : implementation_(std::make_unique<Implementation>()) {
  Implementation* loop = implementation_.get();
  for (int i = 0; i < std::max(options.threads, 1); ++i) {
    loop->threads.emplace_back([loop] {
      loop_of_this_thread = loop;
      loop->context.run();
    });
  }
}

EventLoop::~EventLoop() {
  Stop();
}

void EventLoop::Post(std::function<void()> callback) {
  boost::asio::post(implementation_->context, std::move(callback));
}

EventLoop::TimerId EventLoop::Schedule(base::Duration delay,
                                       std::function<void()> callback) {
  return implementation_->Start(delay, base::Duration::zero(),
                                std::move(callback));
}

EventLoop::TimerId EventLoop::ScheduleEvery(base::Duration interval,
                                            std::function<void()> callback) {
  const base::Duration period = std::max(interval, base::Duration(1));
  return implementation_->Start(period, period, std::move(callback));
}

void EventLoop::Cancel(TimerId timer) {
  const std::lock_guard lock(implementation_->mutex);
  const auto found = implementation_->timers.find(timer);
  if (found == implementation_->timers.end())
    return;
  found->second->timer.cancel();
  implementation_->timers.erase(found);
}

void EventLoop::Stop() {
  implementation_->context.stop();
  for (std::thread& thread : implementation_->threads) {
    if (thread.joinable() && thread.get_id() != std::this_thread::get_id())
      thread.join();
  }
  // Set after the threads have ended, so that an object that sees it can run
  // its last handler on any thread.
  implementation_->stopped = true;
}

}  // namespace wigeonstair::net
