#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_TRUNCATING_SERVER_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_TRUNCATING_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "base/result.h"

namespace wigeonstair::standin {

// A listener whose answers end before their Content-Length, which the HTTP
// library cannot be made to send. Handles one connection after another.
class TruncatingServer {
 public:
  // `on_request` receives the request key of each request that was read.
  static base::Result<std::unique_ptr<TruncatingServer>> create(
      const std::string& ip,
      std::function<void(const std::string& key)> on_request);
  ~TruncatingServer();
  TruncatingServer(const TruncatingServer&) = delete;
  TruncatingServer& operator=(const TruncatingServer&) = delete;

  // "ip:port".
  const std::string& address() const { return address_; }

 private:
  TruncatingServer(int listener,
                   std::string address,
                   std::function<void(const std::string&)> on_request);
  void Serve();
  void Answer(int connection);

  int listener_;
  std::string address_;
  std::function<void(const std::string&)> on_request_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// The value of a header in the raw text of a request, or an empty text.
std::string RawHeader(const std::string& request, const std::string& name);

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_TRUNCATING_SERVER_H_
