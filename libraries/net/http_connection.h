#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_CONNECTION_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "net/http.h"
#include "net/http_client.h"

namespace wigeonstair::net {

struct HttpConnectionOptions {
  // "ip:port".
  std::string address;
  std::size_t answer_limit_bytes = 4 * 1024 * 1024;
};

// One TCP connection to a peer, for one call of plain HTTP at a time. It is
// opened by the first call and never opened again: a process that ends loses
// its connections, so a call that follows an answer reaches the process that
// gave the answer, or none. HttpClient picks any connection to the address.
class HttpConnection {
 public:
  explicit HttpConnection(HttpConnectionOptions options);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Ignores the address, the scheme and the reuse of the call. `done` runs
  // once, on a thread of the HTTP library. No other call may be in progress.
  void Send(HttpCall call, std::function<void(HttpOutcome)> done);
  // Whether the next call can be sent: the last one was answered and the peer
  // keeps the connection open.
  bool IsOpen() const;

 private:
  struct Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_CONNECTION_H_
