#ifndef WIGEONSTAIR_SERVICES_CONTROL_JOB_API_H_
#define WIGEONSTAIR_SERVICES_CONTROL_JOB_API_H_

#include <functional>
#include <string>
#include <string_view>

#include "net/http.h"
#include "services/control/cluster_access.h"
#include "services/control/placement_controller.h"
#include "services/control/replicated_cluster.h"

namespace wigeonstair::control {

// The calls under /v1/jobs. Thread-safe.
class JobApi {
 public:
  // All must outlive the object.
  // `authority_of` gives the HTTP address of a domain's authority on another
  // host, or an empty text.
  JobApi(ClusterAccess& access,
         const ReplicatedCluster& cluster,
         const PlacementController& placement,
         std::function<std::string(const base::DomainId&)> authority_of);

  // `path` is what follows "/v1/jobs", such as "" or "/j1/explain".
  void Handle(const net::HttpRequest& request,
              std::string_view path,
              net::HttpResponder respond);

 private:
  void Submit(const net::HttpRequest& request, net::HttpResponder respond);
  void Cancel(const net::HttpRequest& request,
              const base::JobId& job,
              net::HttpResponder respond);
  net::HttpResponse List(const net::HttpRequest& request) const;
  net::HttpResponse Show(const base::JobId& job) const;
  net::HttpResponse Explain(const base::JobId& job) const;

  ClusterAccess& access_;
  const ReplicatedCluster& cluster_;
  const PlacementController& placement_;
  const std::function<std::string(const base::DomainId&)> authority_of_;
};

// Reads the body of a submission. Fails with kInvalidArgument and names every
// fault.
base::Result<cluster::SubmitJob> ParseSubmission(std::string_view body);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_JOB_API_H_
