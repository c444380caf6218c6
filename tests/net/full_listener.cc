#include "tests/net/full_listener.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <tuple>

#include "tests/own_ip.h"

namespace wigeonstair::net {

FullListener::FullListener() {
  constexpr int kFillingConnections = 4;
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockets_.push_back(listener);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  inet_pton(AF_INET, OwnIp().c_str(), &name.sin_addr);
  socklen_t length = sizeof(name);
  std::ignore = ::bind(listener, reinterpret_cast<sockaddr*>(&name), length);
  listen(listener, 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&name), &length);
  address_ = OwnIp() + ":" + std::to_string(ntohs(name.sin_port));
  for (int i = 0; i < kFillingConnections; ++i) {
    const int filling = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockets_.push_back(filling);
    std::ignore = connect(filling, reinterpret_cast<sockaddr*>(&name), length);
  }
}

FullListener::~FullListener() {
  for (const int socket : sockets_)
    close(socket);
}

}  // namespace wigeonstair::net
