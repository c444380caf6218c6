#ifndef WIGEONSTAIR_LIBRARIES_NET_LOOP_OBJECT_H_
#define WIGEONSTAIR_LIBRARIES_NET_LOOP_OBJECT_H_

// Internal to this library: the only header that includes Asio.

// Asio 1.74 uses std::exchange without this include.
#include <utility>

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/error.h"
#include "net/address.h"
#include "net/event_loop.h"

namespace wigeonstair::net {

using boost::system::error_code;

struct EventLoop::Implementation {
  struct Timer {
    explicit Timer(boost::asio::io_context& context) : timer(context) {}

    boost::asio::steady_timer timer;
    std::function<void()> callback;
    // Zero for a timer that fires once.
    base::Duration interval{0};
  };

  bool RunsInThisThread() const;
  TimerId Start(base::Duration delay,
                base::Duration interval,
                std::function<void()> callback);
  void Wait(TimerId id, const std::shared_ptr<Timer>& timer);
  void Fire(TimerId id);

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work = boost::asio::make_work_guard(context);
  std::atomic<bool> stopped = false;
  std::mutex mutex;
  TimerId last_timer = 0;
  std::map<TimerId, std::shared_ptr<Timer>> timers;
  std::vector<std::thread> threads;
};

// The part of a server, channel or socket that outlives its owner while Asio
// still holds handlers of it. Handlers run one at a time, and none runs after
// Close().
class LoopObject : public std::enable_shared_from_this<LoopObject> {
 public:
  explicit LoopObject(EventLoop& loop)
      : loop_(loop.implementation()),
        strand_(boost::asio::make_strand(loop_.context)) {}

  // Runs `last` as the last handler and returns when no handler runs any more.
  // `last` runs on a loop thread, or on this one after the loop has stopped.
  // When called inside a handler, that handler continues after the return.
  void Close(const std::function<void()>& last);

  // Runs a handler soon, in the order of the calls from one thread.
  template <typename Handler>
  void Run(Handler handler) {
    boost::asio::post(Guard(std::move(handler)));
  }

 protected:
  // Wraps a handler for use with Asio.
  template <typename Handler>
  auto Guard(Handler handler) {
    return boost::asio::bind_executor(
        strand_, [self = shared_from_this(),
                  handler = std::move(handler)](auto&&... arguments) mutable {
          const std::lock_guard lock(self->gate_);
          if (!self->closed_)
            handler(std::forward<decltype(arguments)>(arguments)...);
        });
  }

  // For a handler that goes on after it called the owner's code.
  bool closed() const { return closed_; }

  // Asio objects are made without the strand; Guard() binds the handlers.
  boost::asio::io_context& context() { return loop_.context; }

 private:
  void CloseHere(const std::function<void()>& last);

  EventLoop::Implementation& loop_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  // Held while a handler runs. Recursive, because a handler may destroy the
  // owner of this object.
  std::recursive_mutex gate_;
  bool closed_ = false;
};

// An endpoint of Protocol (TCP or UDP) for an address.
template <typename Protocol>
base::Result<typename Protocol::endpoint> ToEndpoint(const Address& address) {
  error_code error;
  const auto ip = boost::asio::ip::make_address_v4(address.ip, error);
  if (error)
    return base::Fail(base::ErrorCode::kInvalidArgument, "use address",
                      address.ToString(), "not an IPv4 address");
  return typename Protocol::endpoint(ip, address.port);
}

template <typename Endpoint>
Address ToAddress(const Endpoint& endpoint) {
  return Address{.ip = endpoint.address().to_string(), .port = endpoint.port()};
}

// TCP settings of both sides: no delay for small frames, and a silent peer is
// noticed within about 10 s.
void TuneConnection(boost::asio::ip::tcp::socket& socket);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_LOOP_OBJECT_H_
