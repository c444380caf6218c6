#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_CLIENT_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "base/monotonic_clock.h"
#include "net/http.h"

namespace wigeonstair::net {

struct HttpClientOptions {
  // PEM file with the authorities that an https peer is checked against.
  std::string trusted_certificates;
  std::size_t answer_limit_bytes = 4 * 1024 * 1024;
};

// A request is sent once more when a kept connection turns out to be closed,
// even when the peer may have acted on it. A call that must not run twice
// therefore needs a connection of its own. cpprestsdk repeats a request without
// a body unseen; such a call counts as repeated wherever a connection may have
// been kept.
enum class ConnectionReuse { kAllowed, kFresh };

struct HttpCall {
  std::string method = "GET";
  // "ip:port".
  std::string address;
  // "http" or "https".
  std::string scheme = "http";
  // Encoded path with the query.
  std::string path = "/";
  HttpHeaders headers;
  std::string body;
  base::Duration timeout = std::chrono::seconds(5);
  ConnectionReuse reuse = ConnectionReuse::kAllowed;
};

// Keeps connections to each address open for reuse. Thread-safe.
class HttpClient {
 public:
  explicit HttpClient(HttpClientOptions options = {});
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` runs once, on a thread of the library.
  void Send(HttpCall call, std::function<void(HttpOutcome)> done);
  // Blocks until the outcome is known. For tools and tests.
  HttpOutcome SendAndWait(HttpCall call);
  // Closes the connections kept for an address that went away.
  void Forget(const std::string& address);

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_CLIENT_H_
