#include "net/http_timers.h"

#include <pplx/threadpool.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <limits>
#include <vector>

namespace wigeonstair::net {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::int64_t kNotArmed = std::numeric_limits<std::int64_t>::max();

std::int64_t Now() {
  return std::chrono::nanoseconds(SteadyClock::now().time_since_epoch())
      .count();
}

}  // namespace

struct HttpTimers::Implementation {
  boost::asio::steady_timer timer{
      crossplat::threadpool::shared_instance().service()};
};

HttpTimers& HttpTimers::Shared() {
  static auto* const timers = new HttpTimers();
  return *timers;
}

HttpTimers::HttpTimers()
    : implementation_(std::make_unique<Implementation>()), armed_(kNotArmed) {}

HttpTimers::~HttpTimers() = default;

HttpTimers::Id HttpTimers::Start(base::Duration delay,
                                 std::function<void()> callback) {
  const std::int64_t due = Now() + std::chrono::nanoseconds(delay).count();
  const std::lock_guard lock(mutex_);
  const Id id(due, ++order_);
  waiting_.emplace(id, std::move(callback));
  if (due < armed_)
    Arm(due);
  return id;
}

void HttpTimers::Cancel(const Id& id) {
  // Destroyed after the lock, because the callback may own what cancels others.
  std::function<void()> callback;
  const std::lock_guard lock(mutex_);
  const auto found = waiting_.find(id);
  if (found == waiting_.end())
    return;
  callback = std::move(found->second);
  waiting_.erase(found);
}

void HttpTimers::Arm(std::int64_t due) {
  armed_ = due;
  implementation_->timer.expires_at(
      SteadyClock::time_point(std::chrono::nanoseconds(due)));
  implementation_->timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error)
          OnDue();
      });
}

void HttpTimers::ArmEarliest() {
  if (waiting_.empty())
    armed_ = kNotArmed;
  else
    Arm(waiting_.begin()->first.first);
}

void HttpTimers::OnDue() {
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = Now();
    while (!waiting_.empty() && waiting_.begin()->first.first <= now) {
      due.push_back(std::move(waiting_.begin()->second));
      waiting_.erase(waiting_.begin());
    }
    ArmEarliest();
  }
  for (const std::function<void()>& callback : due)
    callback();
}

}  // namespace wigeonstair::net
