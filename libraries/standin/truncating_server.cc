#include "standin/truncating_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

#include "net/http.h"

namespace wigeonstair::standin {

namespace {

constexpr int kPollMilliseconds = 50;
constexpr std::size_t kRequestLimitBytes = 65'536;

bool BecomesReadable(int descriptor) {
  pollfd entry{.fd = descriptor, .events = POLLIN, .revents = 0};
  return ::poll(&entry, 1, kPollMilliseconds) > 0;
}

// Reads up to the end of the headers; a body may remain unread.
std::string ReadHead(int connection) {
  std::string text;
  char buffer[4096];
  while (text.find("\r\n\r\n") == std::string::npos &&
         text.size() < kRequestLimitBytes && BecomesReadable(connection)) {
    const ssize_t size = ::recv(connection, buffer, sizeof(buffer), 0);
    if (size <= 0)
      break;
    text.append(buffer, static_cast<std::size_t>(size));
  }
  return text;
}

}  // namespace

std::string RawHeader(const std::string& request, const std::string& name) {
  const net::HeaderNameLess less;
  std::size_t start = request.find("\r\n");
  while (start != std::string::npos) {
    start += 2;
    const std::size_t end = request.find("\r\n", start);
    const std::string line = request.substr(start, end - start);
    const std::size_t colon = line.find(':');
    if (line.empty())
      return {};
    if (colon != std::string::npos) {
      const std::string key = line.substr(0, colon);
      if (!less(key, name) && !less(name, key)) {
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        return value == std::string::npos ? "" : line.substr(value);
      }
    }
    start = end;
  }
  return {};
}

base::Result<std::unique_ptr<TruncatingServer>> TruncatingServer::create(
    const std::string& ip,
    std::function<void(const std::string& key)> on_request) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  socklen_t length = sizeof(name);
  if (listener < 0 || ::inet_pton(AF_INET, ip.c_str(), &name.sin_addr) != 1 ||
      ::bind(listener, reinterpret_cast<sockaddr*>(&name), length) != 0 ||
      ::listen(listener, SOMAXCONN) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&name), &length) !=
          0) {
    const int error = errno;
    if (listener >= 0)
      ::close(listener);
    return base::Fail(base::ErrorCode::kInputOutput, "open listener", ip,
                      std::strerror(error));
  }
  return std::unique_ptr<TruncatingServer>(new TruncatingServer(
      listener, ip + ":" + std::to_string(ntohs(name.sin_port)),
      std::move(on_request)));
}

TruncatingServer::TruncatingServer(
    int listener,
    std::string address,
    std::function<void(const std::string&)> on_request)
    : listener_(listener),
      address_(std::move(address)),
      on_request_(std::move(on_request)),
      thread_([this] { Serve(); }) {}

TruncatingServer::~TruncatingServer() {
  stopping_ = true;
  thread_.join();
  ::close(listener_);
}

void TruncatingServer::Serve() {
  while (!stopping_) {
    if (!BecomesReadable(listener_))
      continue;
    const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0)
      continue;
    Answer(connection);
    ::close(connection);
  }
}

void TruncatingServer::Answer(int connection) {
  const std::string request = ReadHead(connection);
  if (request.empty())
    return;
  on_request_(RawHeader(request, "Request-Key"));
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Wigeonstair-Request-Id: " +
      RawHeader(request, "Wigeonstair-Request-Id") +
      "\r\nContent-Length: 4096\r\nConnection: close\r\n\r\n{\"upstream\":";
  ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
  ::shutdown(connection, SHUT_WR);
}

}  // namespace wigeonstair::standin
