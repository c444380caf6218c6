#ifndef WIGEONSTAIR_TESTS_NET_RAW_SERVER_H_
#define WIGEONSTAIR_TESTS_NET_RAW_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace wigeonstair::net {

// A fake TCP peer that answers with prepared bytes, so that tests can send what
// no well-behaved HTTP server sends. It serves each connection in a thread.
class RawServer {
 public:
  // Receives the number of requests seen before and returns the bytes to send;
  // after an empty text the connection is closed without an answer. Runs for
  // one request at a time.
  using Script = std::function<std::string(int request_number)>;

  // kReset also resets a connection that is closed without an answer.
  enum class AfterAnswer { kKeepOpen, kClose, kReset };

  RawServer(Script script, AfterAnswer after_answer);
  ~RawServer();

  // Refuses further connections; the open ones are served on. For scripts.
  void StopListening();
  // Closes the open connections, as the end of the peer's process does.
  void CloseConnections();

  // The bytes of the request that is being answered. For scripts.
  const std::string& request() const { return request_; }

  std::string address() const;
  int requests() const { return requests_.load(); }
  // The requests on a connection that had carried one before.
  int requests_on_kept() const { return requests_on_kept_.load(); }

 private:
  void Serve();
  void ServeConnection(int connection);

  Script script_;
  std::mutex script_mutex_;
  std::string request_;
  std::mutex connections_mutex_;
  std::set<int> connections_;
  AfterAnswer after_answer_;
  std::atomic<int> listener_{-1};
  std::uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<int> requests_on_kept_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Sends `bytes` to 127.0.0.1:port and returns all that comes back until the
// peer closes the connection or 5 s pass.
std::string ExchangeBytes(std::uint16_t port, const std::string& bytes);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_TESTS_NET_RAW_SERVER_H_
