#include "tests/hostile_clients/crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <string_view>

namespace wigeonstair::hostile_clients {

namespace {

constexpr int kPollMilliseconds = 100;
// The server takes nothing more when no byte moved for this time.
constexpr std::chrono::seconds kQuietTime(2);
constexpr std::chrono::seconds kSendLimit(60);
constexpr std::size_t kPieceBytes = 16UL * 1024;
constexpr int kAnswerSeconds = 10;

int Connect(const net::Address& server) {
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(server.port);
  inet_pton(AF_INET, server.ip.c_str(), &name.sin_addr);
  if (handle < 0 || connect(handle, reinterpret_cast<const sockaddr*>(&name),
                            sizeof(name)) == 0)
    return handle;
  close(handle);
  return -1;
}

// The next bytes of the script after the first `sent`.
std::string NextPiece(const Script& script, std::size_t sent) {
  const std::size_t left = script.bytes - std::min(sent, script.bytes);
  std::string piece;
  if (sent < script.opening.size())
    piece = script.opening.substr(sent);
  else if (!script.filler.empty())
    piece = script.filler.substr((sent - script.opening.size()) %
                                 script.filler.size());
  while (piece.size() < std::min(left, kPieceBytes) && !script.filler.empty())
    piece += script.filler;
  piece.resize(std::min(left, piece.size()));
  return piece;
}

}  // namespace

Crowd::Crowd(const net::Address& server,
             const std::vector<Script>& scripts,
             std::size_t clients,
             Reading reading)
    : scripts_(scripts), reading_(reading) {
  for (std::size_t i = 0; i < clients; ++i) {
    Client client{.handle = Connect(server),
                  .script = &scripts_[i % scripts_.size()]};
    client.open = client.handle >= 0;
    if (client.open)
      fcntl(client.handle, F_SETFL, O_NONBLOCK);
    clients_.push_back(client);
  }
}

Crowd::~Crowd() {
  for (const Client& client : clients_) {
    if (client.handle >= 0)
      close(client.handle);
  }
}

std::size_t Crowd::bytes_sent() const {
  std::size_t bytes = 0;
  for (const Client& client : clients_)
    bytes += client.sent;
  return bytes;
}

bool Crowd::SendSome(Client& client) const {
  const std::string piece = NextPiece(*client.script, client.sent);
  const ssize_t count =
      send(client.handle, piece.data(), piece.size(), MSG_NOSIGNAL);
  if (count < 0 && errno != EAGAIN)
    client.open = false;
  if (count <= 0)
    return false;
  client.sent += static_cast<std::size_t>(count);
  return true;
}

bool Crowd::ReadSome(Client& client) {
  char buffer[kPieceBytes];
  const ssize_t count = recv(client.handle, buffer, sizeof(buffer), 0);
  if (count == 0 || (count < 0 && errno != EAGAIN))
    client.open = false;
  return count > 0;
}

void Crowd::Send() {
  const auto begin = std::chrono::steady_clock::now();
  auto moved_at = begin;
  while (true) {
    std::vector<pollfd> polled;
    std::vector<Client*> waiting;
    for (Client& client : clients_) {
      if (!client.open || client.sent >= client.script->bytes)
        continue;
      const short reads = reading_ == Reading::kEverything ? POLLIN : 0;
      polled.push_back({.fd = client.handle,
                        .events = static_cast<short>(POLLOUT | reads),
                        .revents = 0});
      waiting.push_back(&client);
    }
    const auto now = std::chrono::steady_clock::now();
    if (waiting.empty() || now - moved_at > kQuietTime ||
        now - begin > kSendLimit)
      return;
    poll(polled.data(), polled.size(), kPollMilliseconds);
    bool moved = false;
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      if ((polled[i].revents & POLLIN) != 0)
        moved = ReadSome(*waiting[i]) || moved;
      if ((polled[i].revents & (POLLOUT | POLLERR | POLLHUP)) != 0)
        moved = SendSome(*waiting[i]) || moved;
    }
    if (moved)
      moved_at = std::chrono::steady_clock::now();
  }
}

std::string Ask(const net::Address& server, const std::string& request) {
  const int handle = Connect(server);
  if (handle < 0)
    return {};
  const timeval limit{.tv_sec = kAnswerSeconds, .tv_usec = 0};
  setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string answer;
  if (send(handle, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
    char buffer[kPieceBytes];
    ssize_t count = 0;
    while ((count = recv(handle, buffer, sizeof(buffer), 0)) > 0)
      answer.append(buffer, static_cast<std::size_t>(count));
  }
  close(handle);
  return answer;
}

}  // namespace wigeonstair::hostile_clients
