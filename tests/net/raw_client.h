#ifndef WIGEONSTAIR_TESTS_NET_RAW_CLIENT_H_
#define WIGEONSTAIR_TESTS_NET_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonstair::net {

// A connection that sends prepared bytes and stays open.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port)
      : handle_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Only a server that hangs reaches it.
    const timeval limit{.tv_sec = 60, .tv_usec = 0};
    setsockopt(handle_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port);
    connected_ = connect(handle_, reinterpret_cast<const sockaddr*>(&name),
                         sizeof(name)) == 0;
  }
  ~RawClient() { close(handle_); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }

  // False when the server has closed the connection.
  bool Send(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t count =
          send(handle_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
  }

  // Reads until the text has arrived or the connection has ended; returns all
  // that was received since the last call.
  std::string ReadUntil(std::string_view text) {
    std::string received;
    char buffer[4096];
    while (received.find(text) == std::string::npos) {
      const ssize_t count = recv(handle_, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        ended_ = count == 0;
        break;
      }
      received.append(buffer, static_cast<std::size_t>(count));
    }
    return received;
  }
  std::string ReadToEnd() {
    std::string received;
    while (!ended_) {
      const std::string more = ReadUntil("\n");
      if (more.empty())
        break;
      received += more;
    }
    return received;
  }
  // Whether the server ended the connection in order.
  bool ended() const { return ended_; }

 private:
  int handle_;
  bool connected_ = false;
  bool ended_ = false;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_TESTS_NET_RAW_CLIENT_H_
