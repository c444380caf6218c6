#include "cluster/view_history.h"

namespace wigeonstair::cluster {

void ViewHistory::Record(const ClusterState& state) {
  if (state.revision() <= revision())
    return;
  views_[state.revision()] =
      std::make_shared<const View>(View{.revision = state.revision(),
                                        .configuration = state.configuration(),
                                        .domains = state.domains()});
  while (views_.size() > kMaximumViews)
    views_.erase(views_.begin());
}

ViewReply ViewHistory::Answer(const ViewRequest& request) const {
  if (views_.empty() || request.known_revision == revision())
    return ViewReply{.revision = revision()};
  const View& latest = *views_.rbegin()->second;
  const auto known = views_.find(request.known_revision);
  if (known == views_.end()) {
    return ViewReply{.kind = ViewKind::kFull,
                     .revision = latest.revision,
                     .patch = DiffConfigurations(ClusterConfiguration{},
                                                 latest.configuration),
                     .domains = latest.domains};
  }
  return ViewReply{.kind = ViewKind::kPatch,
                   .revision = latest.revision,
                   .patch = DiffConfigurations(known->second->configuration,
                                               latest.configuration),
                   .domains = latest.domains};
}

std::uint64_t ViewHistory::revision() const {
  return views_.empty() ? 0 : views_.rbegin()->first;
}

}  // namespace wigeonstair::cluster
