#include "services/entry/message_cluster_feed.h"

#include <string>
#include <utility>
#include <variant>

#include "base/result.h"

namespace wigeonstair::entry {

namespace {

constexpr base::Duration kPollInterval = std::chrono::milliseconds(500);
constexpr base::Duration kPollTimeout = std::chrono::seconds(2);

routing::ClusterView Convert(const cluster::View& view) {
  routing::ClusterView converted{.revision = view.revision,
                                 .customers = view.configuration.customers,
                                 .domains_out = {}};
  for (const auto& [domain, state] : view.domains) {
    if (state.status == cluster::DomainStatus::kOut)
      converted.domains_out.push_back(domain);
  }
  return converted;
}

}  // namespace

MessageClusterFeed::MessageClusterFeed(net::EventLoop& loop,
                                       net::MessageChannel& channel)
    : loop_(loop),
      channel_(channel),
      timer_(loop.ScheduleEvery(kPollInterval, [this] { Poll(); })) {}

MessageClusterFeed::~MessageClusterFeed() {
  loop_.Cancel(timer_);
}

routing::ClusterView MessageClusterFeed::Latest() {
  const std::lock_guard lock(mutex_);
  return latest_;
}

void MessageClusterFeed::Poll() {
  std::uint64_t known = 0;
  {
    const std::lock_guard lock(mutex_);
    known = full_view_required_ ? 0 : view_.revision;
  }
  channel_.Call(cluster::kViewMessage,
                cluster::EncodeViewRequest({.known_revision = known}),
                kPollTimeout, [this, known](const net::CallOutcome& outcome) {
                  Receive(outcome, known);
                });
}

void MessageClusterFeed::Receive(const net::CallOutcome& outcome,
                                 std::uint64_t requested_revision) {
  const auto* body = std::get_if<std::string>(&outcome);
  if (body == nullptr)
    return;
  const std::lock_guard lock(mutex_);
  auto next = base::Capture([&]() -> base::Result<cluster::View> {
    return view_.Apply(TRY(cluster::DecodeViewReply(*body)),
                       requested_revision);
  });
  full_view_required_ = std::holds_alternative<base::Error>(next);
  if (full_view_required_)
    return;
  view_ = std::get<cluster::View>(std::move(next));
  latest_ = Convert(view_);
}

}  // namespace wigeonstair::entry
