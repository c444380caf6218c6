#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "authority/election.h"

namespace wigeonstair::authority {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Three hosts with instant message delivery.
class ThreeHostDomain {
 public:
  explicit ThreeHostDomain(PlantedFault fault, std::int64_t slow_rate = 1000) {
    for (const char* name : {"a", "b", "c"}) {
      const base::HostId host(name);
      rates_[host] = name[0] == 'a' ? slow_rate : 2000 - slow_rate;
      hosts_.emplace(
          host, Election({.self = host,
                          // "a" is the first to compete.
                          .start_jitter = milliseconds(name[0] == 'a' ? 1 : 10),
                          .seed = 3,
                          .fault = fault},
                         Local(host)));
    }
    for (const char* name : {"a", "b", "c"})
      Step(name,
           MemberList{.version = 1, .hosts = {Id("a"), Id("b"), Id("c")}});
  }

  static base::HostId Id(const std::string& name) { return base::HostId(name); }
  const Election& At(const std::string& name) const {
    return hosts_.at(Id(name));
  }
  std::optional<std::int64_t> Held(const std::string& name) const {
    return At(name).HeldEpoch(Local(Id(name)));
  }
  void CutOff(const std::string& name) { cut_ = Id(name); }

  // Lets a host handle `event`, and delivers all messages that follow from it.
  void Step(const std::string& name, const ElectionEvent& event) {
    std::deque<std::pair<base::HostId, ElectionEvent>> queue;
    queue.emplace_back(Id(name), event);
    for (; !queue.empty(); queue.pop_front()) {
      const auto [to, next] = queue.front();
      ElectionOutput output = hosts_.at(to).Step(next, Local(to));
      for (const OutgoingMessage& outgoing : output.messages) {
        if (to != cut_ && outgoing.to != cut_)
          queue.emplace_back(outgoing.to, outgoing.message);
      }
      changes.insert(changes.end(), output.changes.begin(),
                     output.changes.end());
    }
  }

  // Hosts not named in `ticking` only answer requests. Returns the largest
  // number of simultaneous holders.
  std::size_t RunFor(milliseconds duration,
                     const std::string& ticking = "abc") {
    std::size_t most = 0;
    for (const base::Instant end = now_ + duration; now_ < end;) {
      now_ += milliseconds(1);
      std::size_t holders = 0;
      for (const char* name : {"a", "b", "c"}) {
        if (Id(name) != cut_ && ticking.find(name) != std::string::npos)
          Step(name, TickEvent{});
      }
      for (const char* name : {"a", "b", "c"})
        holders += Held(name) ? 1 : 0;
      most = std::max(most, holders);
    }
    return most;
  }

  std::vector<StateChange> changes;

 private:
  base::Instant Local(const base::HostId& host) const {
    return base::Instant(now_.time_since_epoch() * rates_.at(host) / 1000);
  }

  base::Instant now_{seconds(1)};
  std::map<base::HostId, std::int64_t> rates_;
  std::map<base::HostId, Election> hosts_;
  base::HostId cut_;
};

// Cuts off a holder whose clock is 1% slower than those of the other hosts.
std::size_t MaximumHolders(PlantedFault fault) {
  ThreeHostDomain domain(fault, 995);
  domain.RunFor(milliseconds(3'000), "a");
  REQUIRE(domain.Held("a"));
  domain.CutOff("a");
  return domain.RunFor(milliseconds(3'000));
}

}  // namespace

// Guards against a holder with a slow clock that acts after its votes have
// expired. The planted fault shows that the test notices a missing allowance.
TEST_CASE("a lease ends in time on a clock that is 1% slow") {
  CHECK(MaximumHolders(PlantedFault::kNone) == 1);
  CHECK(MaximumHolders(PlantedFault::kNoDriftAllowance) == 2);
}

// Guards against a domain that waits for the lease to expire after each planned
// restart of its authority, and against a host that competes while it shuts
// down.
TEST_CASE("a released lease passes on at once") {
  ThreeHostDomain domain(PlantedFault::kNone);
  domain.RunFor(milliseconds(3'000));
  REQUIRE(domain.Held("a"));
  CHECK(domain.At("c").holder()->host == ThreeHostDomain::Id("a"));
  const std::int64_t epoch = *domain.Held("a");
  domain.Step("a", ReleaseEvent{});
  CHECK_FALSE(domain.Held("a"));
  CHECK_FALSE(domain.At("c").holder());
  CHECK(domain.changes.back() ==
        StateChange(Lost{.epoch = epoch, .reason = LossReason::kReleased}));
  domain.RunFor(milliseconds(100));
  CHECK(domain.Held("b").has_value() != domain.Held("c").has_value());
  CHECK_FALSE(domain.Held("a"));
}

// Guards against an authority whose directives all workers refuse, because they
// have seen a higher epoch.
TEST_CASE("a holder behind the workers' epoch gets a higher one") {
  ThreeHostDomain domain(PlantedFault::kNone);
  domain.RunFor(milliseconds(3'000));
  const std::int64_t epoch = *domain.Held("a");
  domain.Step("a", EpochSeenEvent{.epoch = epoch});
  CHECK(domain.Held("a") == epoch);
  domain.Step("a", EpochSeenEvent{.epoch = epoch + 50});
  CHECK_FALSE(domain.Held("a"));
  CHECK(domain.changes.back() ==
        StateChange(Lost{.epoch = epoch, .reason = LossReason::kFenced}));
  domain.RunFor(milliseconds(100));
  REQUIRE(domain.Held("a"));
  CHECK(*domain.Held("a") > epoch + 50);
  // The holder also loses the lease when a worker reports to another host.
  const std::int64_t second = *domain.Held("a");
  domain.Step("b", EpochSeenEvent{.epoch = second + 50});
  domain.RunFor(milliseconds(2'000));
  CHECK(domain.changes.size() == 5);
  // An epoch out of range from a worker must not exhaust the epochs.
  domain.Step("c", EpochSeenEvent{.epoch = kMaximumEpoch + 1});
  domain.RunFor(milliseconds(2'000));
  CHECK(domain.changes.size() == 5);
}

// Guards against a removed host that still acts or whose vote still counts.
TEST_CASE("a holder that is removed stops at once") {
  ThreeHostDomain domain(PlantedFault::kNone);
  domain.RunFor(milliseconds(3'000));
  const std::int64_t epoch = *domain.Held("a");
  const MemberList list{
      .version = 2,
      .hosts = {ThreeHostDomain::Id("b"), ThreeHostDomain::Id("c")}};
  for (const char* name : {"a", "b", "c"})
    domain.Step(name, list);
  CHECK(domain.changes.back() ==
        StateChange(Lost{.epoch = epoch, .reason = LossReason::kRemoved}));
  domain.RunFor(milliseconds(3'000));
  CHECK_FALSE(domain.Held("a"));
  CHECK(domain.Held("b").has_value() != domain.Held("c").has_value());
}

}  // namespace wigeonstair::authority
