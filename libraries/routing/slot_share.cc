#include "routing/slot_share.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace wigeonstair::routing {

namespace {

// FNV-1a. std::hash may differ between the builds that two hosts run, and all
// hosts must compute the same value.
std::uint64_t StableHash(const std::string& text) {
  std::uint64_t hash = 0xCBF29CE484222325ULL;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001B3ULL;
  }
  return hash;
}

}  // namespace

SlotShare::SlotShare(SlotShareOptions options) : options_(std::move(options)) {}

void SlotShare::Update(std::vector<EntryHost> others,
                       base::Instant now,
                       ClusterReach reach) {
  std::erase_if(others, [this](const EntryHost& host) {
    return host.id == options_.self;
  });
  std::vector<EntryHost> members = std::move(others);
  members.push_back(EntryHost{.id = options_.self, .incarnation = 0});
  if (options_.fault == ShareFault::kIgnoreIncarnations) {
    for (EntryHost& member : members)
      member.incarnation = 0;
  }
  std::sort(members.begin(), members.end());

  const bool frozen = !views_.empty() &&
                      now - updated_ > options_.freeze_limit &&
                      options_.fault != ShareFault::kIgnoreFreeze;
  if (views_.empty() || frozen) {
    views_.clear();
    started_ = now;
  }
  updated_ = now;
  const bool same = !views_.empty() && views_.back().members == members;
  if (same && options_.fault == ShareFault::kRaiseAfterPartition)
    views_.back().reach = reach;
  if (!same || views_.back().reach != reach) {
    views_.push_back(
        View{.since = now, .members = std::move(members), .reach = reach});
  }
  // A view is kept until settle_time after the next view replaced it.
  while (views_.size() > 1 && views_[1].since + options_.settle_time < now)
    views_.pop_front();
}

bool SlotShare::Settled(base::Instant now) const {
  return !views_.empty() && now - updated_ <= options_.freeze_limit &&
         views_.back().since + options_.settle_time < now;
}

std::size_t SlotShare::CountSeenMembers(base::Instant now) const {
  std::set<base::HostId> seen;
  for (std::size_t index = 0; index < views_.size(); ++index) {
    const bool last = index + 1 == views_.size();
    if (!last && views_[index + 1].since + options_.settle_time < now)
      continue;
    for (const EntryHost& member : views_[index].members)
      seen.insert(member.id);
  }
  return seen.size();
}

bool SlotShare::IsPartitioned(const View& view) const {
  return options_.domain_hosts > 0 && view.reach == ClusterReach::kMinority &&
         options_.fault != ShareFault::kIgnorePartition;
}

bool SlotShare::LackedMajority(base::Instant now) const {
  for (std::size_t index = 0; index < views_.size(); ++index) {
    const bool last = index + 1 == views_.size();
    const bool counts =
        last || views_[index + 1].since + options_.settle_time >= now;
    if (counts && IsPartitioned(views_[index]))
      return true;
  }
  return false;
}

std::size_t SlotShare::MaximumMembers(base::Instant now) const {
  const std::size_t seen = CountSeenMembers(now);
  return LackedMajority(now) ? std::max(seen, options_.domain_hosts) : seen;
}

int SlotShare::Share(int limit,
                     const base::UpstreamId& upstream,
                     base::Instant now) const {
  if (views_.empty())
    return 0;
  if (options_.settle_time.count() == 0)
    return limit;
  if (now - updated_ > options_.freeze_limit &&
      options_.fault != ShareFault::kIgnoreFreeze)
    return 0;
  if (now - started_ <= options_.settle_time &&
      options_.fault != ShareFault::kUseShareAtStart)
    return 0;
  const bool settled = views_.back().since + options_.settle_time < now;
  if (!settled && options_.fault != ShareFault::kRaiseImmediately)
    return limit / static_cast<int>(MaximumMembers(now));

  const std::vector<EntryHost>& members = views_.back().members;
  if (IsPartitioned(views_.back()))
    return limit / static_cast<int>(MaximumMembers(now));
  const auto count = static_cast<int>(members.size());
  const auto self = std::find_if(
      members.begin(), members.end(),
      [this](const EntryHost& member) { return member.id == options_.self; });
  const auto shift =
      static_cast<int>(StableHash(upstream.value()) % members.size());
  const int rank = (static_cast<int>(self - members.begin()) + shift) % count;
  return limit / count + (rank < limit % count ? 1 : 0);
}

}  // namespace wigeonstair::routing
