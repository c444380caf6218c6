#ifndef WIGEONSTAIR_SERVICES_ENTRY_HTTP_UPSTREAM_CLIENT_H_
#define WIGEONSTAIR_SERVICES_ENTRY_HTTP_UPSTREAM_CLIENT_H_

#include <functional>
#include <utility>

#include "net/http_client.h"
#include "services/entry/interfaces.h"

namespace wigeonstair::entry {

class HttpUpstreamClient : public UpstreamClient {
 public:
  explicit HttpUpstreamClient(net::HttpClientOptions options)
      : client_(std::move(options)) {}

  void Send(net::HttpCall call,
            std::function<void(net::HttpOutcome)> done) override {
    client_.Send(std::move(call), std::move(done));
  }

 private:
  net::HttpClient client_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_HTTP_UPSTREAM_CLIENT_H_
