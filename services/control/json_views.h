#ifndef WIGEONSTAIR_SERVICES_CONTROL_JSON_VIEWS_H_
#define WIGEONSTAIR_SERVICES_CONTROL_JSON_VIEWS_H_

#include <optional>

#include "cluster/cluster_state.h"
#include "net/http.h"
#include "placement/views.h"
#include "settings/value.h"

namespace wigeonstair::control {

// JSON forms of what the API returns; docs/api.md describes them.
settings::Value JobValue(const cluster::JobRecord& job);
settings::Value ReasonValue(const placement::Reason& reason);
settings::Value JobViewValue(const placement::JobView& view);
settings::Value ExplanationValue(const placement::Explanation& explanation,
                                 base::Instant now);
settings::Value WorkerValue(const placement::WorkerView& worker);
settings::Value CustomerValue(const placement::CustomerView& customer);
settings::Value CapacityValue(const placement::CapacityView& capacity);
settings::Value DrainPreviewValue(const placement::DrainPreview& preview);

std::string_view JobPhaseName(const cluster::JobRecord& job);
std::string_view DomainStatusName(cluster::DomainStatus status);

net::HttpResponse JsonResponse(int status, const settings::Value& value);

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_JSON_VIEWS_H_
