#ifndef WIGEONSTAIR_SERVICES_CONTROL_WORKER_API_H_
#define WIGEONSTAIR_SERVICES_CONTROL_WORKER_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "base/monotonic_clock.h"
#include "net/http.h"
#include "services/control/placement_controller.h"

namespace wigeonstair::control {

struct WorkerApiOptions {
  base::DomainId domain;
  // For workers that do not offer to wait.
  base::Duration report_interval = std::chrono::seconds(1);
  // HTTP address of the domain's authority as far as it is known, or empty.
  std::function<std::string()> authority_address;
  // The highest epoch that a worker has reported is told to the election.
  std::function<void(std::int64_t)> saw_epoch;
};

// The calls under /v1/workers that workers make. Thread-safe.
class WorkerApi {
 public:
  // `placement` must outlive the object.
  WorkerApi(PlacementController& placement, WorkerApiOptions options);

  // `path` is what follows "/v1/workers", such as "/w1/report".
  void Handle(const net::HttpRequest& request,
              std::string_view path,
              const net::HttpResponder& respond);

 private:
  net::HttpResponse Register(const std::string& worker,
                             const net::HttpRequest& request);
  void Report(const std::string& worker,
              const net::HttpRequest& request,
              const net::HttpResponder& respond);
  net::HttpResponse ResponseTo(const std::string& worker,
                               const ReportOutcome& outcome) const;
  net::HttpResponse SendElsewhere() const;

  PlacementController& placement_;
  const WorkerApiOptions options_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_WORKER_API_H_
