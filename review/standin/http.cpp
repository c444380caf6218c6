#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

// The channels that Serve() has accepted since the last EndChannels().
std::mutex channels_mutex;
std::set<int> channels;

void ResetOnClose(int handle) {
  const linger none{.l_onoff = 1, .l_linger = 0};
  setsockopt(handle, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

// Whether the life that accepted the channel still lasts.
bool IsOpen(int handle) {
  const std::lock_guard lock(channels_mutex);
  return channels.contains(handle);
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
  return name;
}

int MillisecondsLeft(Clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool WaitFor(int handle, short events, Clock::time_point deadline) {
  pollfd waiting{.fd = handle, .events = events, .revents = 0};
  return poll(&waiting, 1, MillisecondsLeft(deadline)) > 0;
}

bool SendAll(int handle, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

// Reads one message: its first line, the headers and the body.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

bool ReadMessage(int handle,
                 std::string& buffer,
                 Clock::time_point deadline,
                 Message& message) {
  const auto read_more = [&] {
    char bytes[16384];
    if (!WaitFor(handle, POLLIN, deadline))
      return false;
    const ssize_t count = recv(handle, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return false;
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!read_more())
      return false;
  }
  std::istringstream lines(buffer.substr(0, end));
  std::getline(lines, message.first_line);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.back() == '\r')) {
      if (value.front() == ' ')
        value.erase(0, 1);
      else
        value.pop_back();
    }
    message.headers[LowerCase(line.substr(0, colon))] = value;
  }
  const std::size_t length = static_cast<std::size_t>(
      std::strtoull(message.headers["content-length"].c_str(), nullptr, 10));
  while (buffer.size() < end + 4 + length) {
    if (!read_more())
      return false;
  }
  message.body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

void ServeChannel(int handle,
                  const std::function<Response(const Request&)>& handler) {
  std::string buffer;
  while (true) {
    Message message;
    if (!ReadMessage(handle, buffer, Clock::now() + std::chrono::hours(1),
                     message))
      break;
    if (!IsOpen(handle)) {
      ResetOnClose(handle);
      break;
    }
    Request request{.method = "",
                    .path = "",
                    .headers = message.headers,
                    .body = message.body};
    std::istringstream line(message.first_line);
    line >> request.method >> request.path;
    const Response response = handler(request);
    if (response.status == 0) {
      // Unanswered: the channel stays open until the peer closes it.
      char byte = 0;
      while (recv(handle, &byte, 1, 0) > 0 && IsOpen(handle)) {
      }
      break;
    }
    if (!SendAll(handle, "HTTP/1.1 " + std::to_string(response.status) +
                             " X\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" +
                             response.body)) {
      break;
    }
  }
  const std::lock_guard lock(channels_mutex);
  channels.erase(handle);
  close(handle);
}

}  // namespace

void EndChannels(bool silently) {
  const std::lock_guard lock(channels_mutex);
  for (const int handle : channels) {
    if (silently)
      continue;
    ResetOnClose(handle);
    shutdown(handle, SHUT_RDWR);
  }
  channels.clear();
}

Response Send(const Address& to,
              const std::string& method,
              const std::string& path,
              const std::vector<std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  const Clock::time_point deadline =
      Clock::now() + std::chrono::milliseconds(timeout_ms);
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(to);
  Response response;
  if (connect(handle, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) ==
      0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string& header : headers)
      text += header + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    Message message;
    if (SendAll(handle, text) &&
        ReadMessage(handle, buffer, deadline, message)) {
      std::istringstream line(message.first_line);
      std::string protocol;
      line >> protocol >> response.status;
      response.body = message.body;
    }
  }
  close(handle);
  return response;
}

void Serve(const Address& at, std::function<Response(const Request&)> handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in name = ToSocketAddress(at);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
          0 ||
      listen(listener, 128) != 0) {
    return;
  }
  while (true) {
    const int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (handle < 0)
      continue;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(channels_mutex);
      channels.insert(handle);
    }
    std::thread([handle, handler] { ServeChannel(handle, handler); }).detach();
  }
}

bool IsFree(const Address& address) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(address);
  const bool free =
      bind(handle, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) == 0;
  close(handle);
  return free;
}

std::string TextField(const std::string& json, const std::string& name) {
  const std::string start = "\"" + name + "\":\"";
  const std::size_t begin = json.find(start);
  if (begin == std::string::npos)
    return "";
  const std::size_t value = begin + start.size();
  return json.substr(value, json.find('"', value) - value);
}

std::uint64_t NumberField(const std::string& json, const std::string& name) {
  const std::string start = "\"" + name + "\":";
  const std::size_t begin = json.find(start);
  return begin == std::string::npos
             ? 0
             : std::strtoull(json.c_str() + begin + start.size(), nullptr, 10);
}

}  // namespace review
