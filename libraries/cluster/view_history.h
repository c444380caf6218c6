#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_VIEW_HISTORY_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_VIEW_HISTORY_H_

#include <cstdint>
#include <map>
#include <memory>

#include "cluster/cluster_state.h"
#include "cluster/messages.h"

namespace wigeonstair::cluster {

// Keeps the latest views of a control process, so that it can send an entry
// process only the difference to the revision that the process has.
class ViewHistory {
 public:
  // An entry process that lags by more revisions than this gets a full view.
  static constexpr std::size_t kMaximumViews = 64;

  // Adds the state's view if its revision is new.
  void Record(const ClusterState& state);
  ViewReply Answer(const ViewRequest& request) const;
  std::uint64_t revision() const;

 private:
  std::map<std::uint64_t, std::shared_ptr<const View>> views_;
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_VIEW_HISTORY_H_
