#include "net/loop_object.h"

#include <netinet/tcp.h>

#include <chrono>
#include <future>

namespace wigeonstair::net {

void LoopObject::CloseHere(const std::function<void()>& last) {
  const std::lock_guard lock(gate_);
  if (closed_)
    return;
  closed_ = true;
  last();
}

void LoopObject::Close(const std::function<void()>& last) {
  if (loop_.RunsInThisThread() || loop_.stopped) {
    CloseHere(last);
    return;
  }
  auto closed = std::make_shared<std::promise<void>>();
  auto waiting = closed->get_future();
  boost::asio::post(loop_.context, [self = shared_from_this(), last, closed] {
    self->CloseHere(last);
    closed->set_value();
  });
  // The loop may stop before it runs the posted handler.
  constexpr auto kStopCheckInterval = std::chrono::milliseconds(10);
  while (waiting.wait_for(kStopCheckInterval) != std::future_status::ready) {
    if (loop_.stopped) {
      CloseHere(last);
      return;
    }
  }
}

void TuneConnection(boost::asio::ip::tcp::socket& socket) {
  constexpr int kUnacknowledgedMilliseconds = 2500;
  constexpr int kIdleSeconds = 2;
  constexpr int kProbeSeconds = 1;
  constexpr int kProbes = 2;
  // A failure leaves the system's defaults, which only delays detection.
  const int handle = socket.native_handle();
  const auto set = [&](int level, int name, int value) {
    setsockopt(handle, level, name, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMilliseconds);
}

}  // namespace wigeonstair::net
