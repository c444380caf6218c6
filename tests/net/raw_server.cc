#include "tests/net/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <mutex>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "tests/own_ip.h"

namespace wigeonstair::net {

namespace {

constexpr int kPollMilliseconds = 50;

// Reads one request: the header block and the announced body. Returns an empty
// text when the connection ends.
std::string ReadRequest(int connection, const std::atomic<bool>& stopping) {
  std::string received;
  while (!stopping) {
    const std::size_t end = received.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::string_view name = "Content-Length:";
      const std::size_t field = received.find(name);
      const std::size_t length =
          field < end ? std::stoul(received.substr(field + name.size())) : 0;
      if (received.size() >= end + 4 + length)
        return received;
    }
    pollfd poller{.fd = connection, .events = POLLIN, .revents = 0};
    if (poll(&poller, 1, kPollMilliseconds) <= 0)
      continue;
    char buffer[4096];
    const ssize_t count = read(connection, buffer, sizeof(buffer));
    if (count <= 0)
      return {};
    received.append(buffer, static_cast<std::size_t>(count));
  }
  return {};
}

}  // namespace

RawServer::RawServer(Script script, AfterAnswer after_answer)
    : script_(std::move(script)), after_answer_(after_answer) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, OwnIp().c_str(), &name.sin_addr);
  std::ignore =
      ::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof(name));
  listen(listener_, 16);
  socklen_t length = sizeof(name);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &length);
  port_ = ntohs(name.sin_port);
  thread_ = std::thread([this] { Serve(); });
}

RawServer::~RawServer() {
  stopping_ = true;
  thread_.join();
  StopListening();
}

void RawServer::StopListening() {
  const int listener = listener_.exchange(-1);
  if (listener < 0)
    return;
  // A poll in another thread would keep the closed socket listening.
  shutdown(listener, SHUT_RDWR);
  close(listener);
}

void RawServer::CloseConnections() {
  const std::lock_guard lock(connections_mutex_);
  for (const int connection : connections_)
    shutdown(connection, SHUT_RDWR);
}

std::string RawServer::address() const {
  return OwnIp() + ":" + std::to_string(port_);
}

void RawServer::Serve() {
  std::vector<std::thread> connections;
  while (!stopping_ && listener_ >= 0) {
    pollfd poller{.fd = listener_, .events = POLLIN, .revents = 0};
    if (poll(&poller, 1, kPollMilliseconds) <= 0)
      continue;
    const int connection = accept(listener_, nullptr, nullptr);
    if (connection < 0)
      continue;
    {
      const std::lock_guard lock(connections_mutex_);
      connections_.insert(connection);
    }
    connections.emplace_back([this, connection] {
      ServeConnection(connection);
      const std::lock_guard lock(connections_mutex_);
      connections_.erase(connection);
      close(connection);
    });
  }
  for (std::thread& connection : connections)
    connection.join();
}

void RawServer::ServeConnection(int connection) {
  bool kept = false;
  while (true) {
    std::string request = ReadRequest(connection, stopping_);
    if (request.empty())
      return;
    const std::string answer = [&] {
      std::lock_guard lock(script_mutex_);
      request_ = std::move(request);
      if (std::exchange(kept, true))
        ++requests_on_kept_;
      return script_(requests_.fetch_add(1));
    }();
    if (after_answer_ == AfterAnswer::kReset) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    if (answer.empty())
      return;
    [[maybe_unused]] const ssize_t written =
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    if (after_answer_ != AfterAnswer::kKeepOpen)
      return;
  }
}

std::string ExchangeBytes(std::uint16_t port, const std::string& bytes) {
  const int connection = socket(AF_INET, SOCK_STREAM, 0);
  timeval limit{.tv_sec = 5, .tv_usec = 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  name.sin_port = htons(port);
  std::string received;
  if (connect(connection, reinterpret_cast<sockaddr*>(&name), sizeof(name)) ==
      0) {
    [[maybe_unused]] const ssize_t written =
        send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(connection, SHUT_WR);
    char buffer[4096];
    ssize_t count = 0;
    while ((count = read(connection, buffer, sizeof(buffer))) > 0)
      received.append(buffer, static_cast<std::size_t>(count));
  }
  close(connection);
  return received;
}

}  // namespace wigeonstair::net
