#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_SERVER_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_SERVER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "base/result.h"
#include "net/address.h"
#include "net/connection_table.h"
#include "net/http.h"

namespace wigeonstair::net {

struct TlsFiles {
  // PEM files; both empty means plain HTTP.
  std::string certificate;
  std::string key;
};

struct HttpServerOptions {
  // Port 0 is replaced by a free one.
  Address address;
  TlsFiles tls;
  HttpHandler handler;
  // Bounds on one request; see RequestLimits.
  std::size_t body_limit_bytes = 1024 * 1024;
  std::size_t header_limit_bytes = 16 * 1024;
  std::size_t chunk_overhead_limit_bytes = 0;
  std::size_t empty_line_limit_bytes = 1024;
  // Time from the first byte of a request to the end of its head.
  base::Duration head_timeout = std::chrono::seconds(10);
  // Time in which a part of a body has to arrive.
  base::Duration stall_timeout = std::chrono::seconds(10);
  // Time to receive a whole request.
  base::Duration receive_timeout = std::chrono::seconds(30);
  // Time without a request after which a connection is closed.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // Time in which a peer that does not read its answer has to take it.
  base::Duration send_timeout = std::chrono::seconds(30);
  // Requests in progress; further ones get 503 at once.
  int concurrency_limit = 4096;
  // The connections of all servers of the process; null for one that all
  // servers without their own share.
  std::shared_ptr<ConnectionTable> connections;
  // Optional; count and log what is refused. `counters` must outlive the
  // server.
  base::CounterRegistry* counters = nullptr;
  std::shared_ptr<base::EventLog> log;
};

// Sets how many threads all HTTP servers and clients of this process share;
// cpprestsdk starts 40 by default. Has an effect only before the first of them
// is created; false when that is too late.
bool SetHttpThreads(int threads);

// An HTTP/1.1 server on Boost.Beast, on the threads of cpprestsdk's clients. It
// holds no more of a request than the limits allow, and no memory for bytes
// that were only announced. A request that is refused by a limit has not run;
// it is answered, when its connection still can be, and its connection closed.
// A request that was received whole runs and is answered, or gets 503.
// Thread-safe.
class HttpServer {
 public:
  static base::Result<std::unique_ptr<HttpServer>> create(
      HttpServerOptions options);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Address address() const;
  int requests_in_progress() const;

  // Reads the certificate files again. New connections use the new identity;
  // after an error the old one stays in use.
  base::Result<std::monostate> ReloadCertificate();

  // Waits until no request is in progress. Returns false when `timeout` passed
  // first; requests then still run. The owner refuses new work before it calls
  // this. The listener stays open until the server is destroyed.
  // The destructor waits, without a limit, for the requests in progress.
  bool Drain(base::Duration timeout);

 private:
  class Listener;
  explicit HttpServer(std::shared_ptr<Listener> listener);
  std::shared_ptr<Listener> listener_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_SERVER_H_
