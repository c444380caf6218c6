#ifndef WIGEONSTAIR_SERVICES_CONTROL_OPERATOR_API_H_
#define WIGEONSTAIR_SERVICES_CONTROL_OPERATOR_API_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/monotonic_clock.h"
#include "net/event_loop.h"
#include "net/http.h"
#include "services/control/cluster_access.h"
#include "services/control/placement_controller.h"
#include "services/control/replicated_cluster.h"
#include "settings/value.h"

namespace wigeonstair::control {

// A host or domain that keeps a change from being in force.
struct MissingPart {
  std::string kind;  // "host" or "domain".
  std::string id;
  std::string why;
};

struct OperatorApiOptions {
  // All outlive the object.
  ClusterAccess* access = nullptr;
  const ReplicatedCluster* cluster = nullptr;
  const PlacementController* placement = nullptr;
  net::EventLoop* loop = nullptr;
  // What is not yet in force of the changes up to a revision.
  std::function<std::vector<MissingPart>(std::uint64_t revision)> missing;
  // Adds the roles, leaders and members of this host to GET /v1/status.
  std::function<void(settings::Value&)> add_status;
  // Authority and epoch of a domain for GET /v1/domains.
  std::function<void(const base::DomainId&, settings::Value&)> add_domain;
  // HTTP address of a domain's authority on another host, or empty.
  std::function<std::string(const base::DomainId&)> authority_of;
  // The failure domain of this host.
  base::DomainId domain;
  // Stops starting tasks on this side of a partition until the log says
  // otherwise.
  std::function<void(const base::DomainId&)> take_out_locally;
  // Changes the voters; the path and body are those of POST /v1/members.
  std::function<void(const net::HttpRequest&, net::HttpResponder)>
      change_members;
  // How long a change waits to be in force before the answer is `pending`.
  base::Duration in_force_timeout = std::chrono::seconds(3);
};

// Operators' calls, which the caller has authorized. Thread-safe.
class OperatorApi {
 public:
  explicit OperatorApi(OperatorApiOptions options);

  // `path` is what follows "/v1", such as "/domains/linz/status".
  void Handle(const net::HttpRequest& request,
              std::string_view path,
              net::HttpResponder respond);

 private:
  void ApplyConfiguration(const net::HttpRequest& request,
                          net::HttpResponder respond);
  void ProposeConfiguration(std::string operation,
                            std::uint64_t expected_revision,
                            cluster::ClusterConfiguration wanted,
                            net::HttpResponder respond);
  void SetDomainStatus(const net::HttpRequest& request,
                       const base::DomainId& domain,
                       net::HttpResponder respond);
  void ConfirmHostStopped(const net::HttpRequest& request,
                          const base::HostId& host,
                          net::HttpResponder respond);
  void Propose(cluster::Command command, net::HttpResponder respond);
  void AnswerWhenInForce(const std::string& operation,
                         std::uint64_t revision,
                         base::Instant deadline,
                         net::HttpResponder respond);
  net::HttpResponse Read(std::string_view path) const;
  net::HttpResponse Status() const;
  net::HttpResponse Configuration() const;
  net::HttpResponse Domains() const;
  net::HttpResponse Customers() const;
  net::HttpResponse Workers() const;
  net::HttpResponse Pending() const;
  net::HttpResponse DrainPreview(const base::DomainId& domain) const;
  // Sends the caller to the domain's authority, which alone knows its tasks.
  net::HttpResponse AskAuthority(const base::DomainId& domain) const;
  settings::Value MissingValue(std::uint64_t revision) const;

  const OperatorApiOptions options_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_OPERATOR_API_H_
