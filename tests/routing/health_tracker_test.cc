#include "routing/health_tracker.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "base/random.h"

namespace wigeonstair::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUpstreams = 10;

struct Service {
  explicit Service(HealthFault fault = HealthFault::kNone)
      : tracker({.fault = fault}) {
    for (int index = 0; index < kUpstreams; ++index) {
      candidates.push_back({.id = base::UpstreamId("u" + std::to_string(index)),
                            .usable_since = base::Instant{},
                            .load = &loads[index]});
    }
  }

  std::vector<HealthVerdict> At(base::Duration time) {
    return tracker.Evaluate(candidates, base::Instant(time));
  }

  static int Ejected(const std::vector<HealthVerdict>& verdicts) {
    return static_cast<int>(std::count_if(
        verdicts.begin(), verdicts.end(),
        [](const auto& one) { return one.state == HealthState::kEjected; }));
  }

  void Fail(int index, int times) {
    for (int time = 0; time < times; ++time)
      loads[index].RecordFailure();
  }

  std::array<UpstreamLoad, kUpstreams> loads;
  HealthTracker tracker;
  std::vector<HealthTracker::Candidate> candidates;
};

}  // namespace

// Guards against sending requests to an upstream that fails all of them.
TEST_CASE("consecutive failures eject an upstream until a slow start") {
  for (const auto fault : {HealthFault::kNone, HealthFault::kNeverEject}) {
    Service service(fault);
    service.Fail(3, 5);
    const auto verdicts = service.At(seconds(100));
    CHECK(Service::Ejected(verdicts) == (fault == HealthFault::kNone ? 1 : 0));
    if (fault != HealthFault::kNone)
      continue;
    CHECK(verdicts[3].state == HealthState::kEjected);
    const auto returned = service.At(seconds(103));
    CHECK(returned[3].state == HealthState::kSlowStart);
    CHECK(returned[3].weight < 0.2);
    CHECK(service.At(seconds(110))[3].state == HealthState::kHealthy);
  }
}

// Guards against ejecting so many upstreams that the rest is overloaded.
TEST_CASE("at most the maximum share is ejected when all upstreams fail") {
  for (const auto fault : {HealthFault::kNone, HealthFault::kNoEjectionLimit}) {
    Service service(fault);
    for (int index = 0; index < kUpstreams; ++index)
      service.Fail(index, 20);
    const int ejected = Service::Ejected(service.At(seconds(100)));
    CHECK(ejected == (fault == HealthFault::kNone ? 4 : kUpstreams));
  }
}

// Guards against exceeding the maximum ejected share when healthy upstreams
// leave after the ejections.
TEST_CASE("ejected upstreams return when healthy ones leave the service") {
  Service service;
  for (int index = 0; index < 4; ++index)
    service.Fail(index, 5);
  CHECK(Service::Ejected(service.At(seconds(100))) == 4);
  service.candidates.resize(5);
  CHECK(Service::Ejected(service.At(milliseconds(100'100))) <= 2);
}

// Guards against ejecting the sole upstream of a service.
TEST_CASE("the only upstream of a service is never ejected") {
  Service service;
  service.candidates.resize(1);
  service.Fail(0, 100);
  CHECK(Service::Ejected(service.At(seconds(100))) == 0);
}

// Guards against keeping an upstream that answers all requests, but slowly.
TEST_CASE("a slow upstream is ejected") {
  Service service;
  constexpr int kAnswers = 5;
  for (int answer = 0; answer < kAnswers; ++answer) {
    for (int index = 0; index < kUpstreams; ++index)
      service.loads[index].RecordAnswer(milliseconds(index == 7 ? 200 : 20));
  }
  const auto verdicts = service.At(seconds(100));
  CHECK(Service::Ejected(verdicts) == 1);
  CHECK(verdicts[7].state == HealthState::kEjected);
}

// Guards against never ejecting an upstream that is only moderately slow, or
// that becomes slow after a long healthy time.
TEST_CASE("an upstream that becomes four times slower is ejected") {
  Service service;
  base::Duration time = seconds(100);
  std::vector<HealthVerdict> verdicts;
  for (int round = 0; round < 70; ++round, time += milliseconds(100)) {
    for (int index = 0; index < kUpstreams; ++index) {
      const bool slow = index == 7 && round >= 30;
      service.loads[index].RecordAnswer(milliseconds(slow ? 80 : 20));
    }
    verdicts = service.At(time);
    if (round < 30)
      CHECK(Service::Ejected(verdicts) == 0);
  }
  // 40 of its answers were slow.
  CHECK(Service::Ejected(verdicts) == 1);
  CHECK(verdicts[7].state == HealthState::kEjected);
}

// Guards against ejecting healthy upstreams of a service whose answer times
// vary widely. When single slow answers counted as evidence, up to 11 of 40
// upstreams were ejected.
TEST_CASE("exponential answer times do not eject healthy upstreams") {
  base::Random random(11);
  Service service;
  for (int round = 0; round < 5'000; ++round) {
    for (UpstreamLoad& load : service.loads) {
      for (std::uint64_t answer = random.Below(6); answer > 0; --answer) {
        load.RecordAnswer(base::Duration(
            static_cast<std::int64_t>(random.Exponential(20'000))));
      }
    }
    REQUIRE(Service::Ejected(
                service.At(seconds(100) + round * milliseconds(100))) == 0);
  }
}

// Guards against keeping an upstream that fails half of its requests, but never
// five consecutive ones.
TEST_CASE("a high failure rate ejects an upstream") {
  Service service;
  for (int round = 0; round < 10; ++round) {
    service.loads[2].RecordFailure();
    service.loads[2].RecordAnswer(milliseconds(20));
  }
  CHECK(service.At(seconds(100))[2].state == HealthState::kEjected);
}

// Guards against ejecting an upstream for failures before its restart.
TEST_CASE("a restart resets the health record and begins a slow start") {
  Service service;
  service.Fail(1, 5);
  CHECK(service.At(seconds(100))[1].state == HealthState::kEjected);
  service.candidates[1].usable_since = base::Instant(seconds(101));
  CHECK(service.At(seconds(101))[1].state == HealthState::kSlowStart);
  CHECK(service.loads[1].consecutive_failures == 0);
}

// Guards against ejections of constant length for an upstream that fails again
// after each of them.
TEST_CASE("each further ejection lasts longer") {
  Service service;
  const auto ejected_for = [&](base::Duration start) {
    service.Fail(0, 5);
    base::Duration time = start;
    while (service.At(time)[0].state == HealthState::kEjected)
      time += milliseconds(100);
    return time - start;
  };
  CHECK(ejected_for(seconds(100)) == seconds(2));
  CHECK(ejected_for(seconds(110)) == seconds(4));
  CHECK(ejected_for(seconds(120)) == seconds(8));
}

}  // namespace wigeonstair::routing
