#ifndef WIGEONSTAIR_SERVICES_CONTROL_HTTP_ROUTER_H_
#define WIGEONSTAIR_SERVICES_CONTROL_HTTP_ROUTER_H_

#include <atomic>
#include <memory>
#include <string>

#include "base/counter_registry.h"
#include "base/event_log.h"
#include "net/http.h"
#include "services/control/job_api.h"
#include "services/control/operator_api.h"
#include "services/control/worker_api.h"

namespace wigeonstair::control {

struct HttpRouterOptions {
  // All outlive the router.
  JobApi* jobs = nullptr;
  WorkerApi* workers = nullptr;
  OperatorApi* operators = nullptr;
  base::CounterRegistry* counters = nullptr;
  std::shared_ptr<base::EventLog> event_log;
  // Empty refuses all operators' calls.
  std::string operator_token;
};

// Gives each HTTP request of the control process to its API. Thread-safe.
class HttpRouter {
 public:
  explicit HttpRouter(HttpRouterOptions options);

  void Handle(const net::HttpRequest& request, net::HttpResponder respond);
  // From now on new requests are refused with 503.
  void BeginDrain() { draining_ = true; }

 private:
  void Route(const net::HttpRequest& request, net::HttpResponder respond);
  bool IsAuthorized(const net::HttpRequest& request) const;
  net::HttpResponse Reject(const net::HttpRequest& request,
                           int status,
                           base::ErrorCode code,
                           std::string detail) const;

  const HttpRouterOptions options_;
  std::atomic<bool> draining_{false};
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_HTTP_ROUTER_H_
