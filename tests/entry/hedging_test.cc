#include <catch2/catch.hpp>

#include <string>
#include <utility>

#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

namespace {

// Adds two upstreams and answers enough requests, each after 20 ms, for the
// latency percentile that sets the hedging delay.
void RecordAnswerLatencies(Harness& harness) {
  harness.AddUpstream("u1");
  harness.AddUpstream("u2");
  for (int request = 0; request < 60; ++request) {
    harness.Start(Get());
    const auto call = harness.upstreams.Take();
    harness.clock.now += std::chrono::milliseconds(20);
    call.done(AnswerTo(call.call, "ok"));
  }
  harness.HeartbeatAll();
  harness.Advance(std::chrono::milliseconds(100));
  harness.timers.waiting.clear();
}

std::string Metric(Harness& harness, const std::string& name) {
  const std::string text =
      harness.Call({.method = "GET", .path = "/metrics"}).body;
  const auto at = text.find("\n" + name + " ");
  if (at == std::string::npos)
    return "";
  const auto begin = at + name.size() + 2;
  return text.substr(begin, text.find('\n', begin) - begin);
}

}  // namespace

// Guards against a slow upstream that delays a request although another
// upstream is free, and against leaking a slot or an in-progress request.
TEST_CASE("a hedged copy answers a slow idempotent request") {
  for (const std::size_t winner : {0, 1}) {
    Harness harness;
    RecordAnswerLatencies(harness);
    const auto answer = harness.Start(Get("/slow"));
    REQUIRE(harness.timers.waiting.size() == 1);
    CHECK(harness.timers.waiting[0].first >= std::chrono::milliseconds(20));
    CHECK(harness.timers.waiting[0].first <= std::chrono::milliseconds(22));
    harness.timers.FireAll();
    REQUIRE(harness.upstreams.pending.size() == 2);
    const auto won = harness.upstreams.Take(winner);
    won.done(AnswerTo(won.call, "first"));
    REQUIRE(answer->has_value());
    CHECK((*answer)->body == "first");
    // The other copy still counts as in progress, so that a drain waits for it.
    CHECK(harness.service.in_progress() == 1);
    const auto late = harness.upstreams.Take();
    late.done(AnswerTo(late.call, "late"));
    CHECK((*answer)->body == "first");
    CHECK(harness.service.in_progress() == 0);
    CHECK(Metric(harness, "wigeonstair_hedges_total") == "1");
    CHECK(Metric(harness, "wigeonstair_hedges_won_total") ==
          std::to_string(winner));
    // All 16 slots are free again.
    for (int request = 0; request < 16; ++request)
      harness.Start(Get());
    CHECK(harness.upstreams.pending.size() == 16);
  }
}

// Guards I6: a request that must not run twice is never hedged. The injected
// fault shows that the check detects a violation.
TEST_CASE("a non-idempotent request is never hedged") {
  for (const auto fault :
       {routing::HedgeFault::kNone, routing::HedgeFault::kHedgeNonIdempotent}) {
    Harness harness({.faults = {.hedge = fault}});
    RecordAnswerLatencies(harness);
    harness.Start(CreditRequest(harness, "key-12345"));
    harness.timers.FireAll();
    const std::size_t copies =
        fault == routing::HedgeFault::kHedgeNonIdempotent ? 2 : 1;
    CHECK(harness.upstreams.pending.size() == copies);
  }
}

// Guards I5: "not run" is not reported if either copy may have run.
TEST_CASE("a hedged request that may have run is not reported as not run") {
  for (const std::size_t lost : {0, 1}) {
    Harness harness;
    RecordAnswerLatencies(harness);
    const auto answer = harness.Start(Get("/slow"));
    harness.timers.FireAll();
    auto first = harness.upstreams.Take();
    auto second = harness.upstreams.Take();
    if (lost == 1)
      std::swap(first, second);
    first.done(Lost());
    CHECK_FALSE(answer->has_value());
    second.done(NotSent());
    while (!harness.upstreams.pending.empty())
      harness.upstreams.Take().done(NotSent());
    CHECK(OutcomeOf(*answer) == "unknown");
    CHECK(harness.service.in_progress() == 0);
  }
}

// Guards against hedged requests that multiply the load of a slow service.
TEST_CASE("hedging stops at the retry budget and without a free slot") {
  Harness harness;
  RecordAnswerLatencies(harness);
  for (int request = 0; request < 8; ++request)
    harness.Start(Get());
  harness.timers.FireAll();
  // The second copies take the 8 remaining of 16 slots.
  CHECK(harness.upstreams.pending.size() == 16);
  harness.Start(Get("/waits"));
  harness.timers.FireAll();
  CHECK(harness.upstreams.pending.size() == 16);
  int hedged = 8;
  for (int round = 0; round < 10; ++round) {
    while (!harness.upstreams.pending.empty()) {
      const auto call = harness.upstreams.Take();
      call.done(AnswerTo(call.call, "ok"));
    }
    harness.Start(Get());
    harness.Start(Get());
    harness.timers.FireAll();
    hedged += static_cast<int>(harness.upstreams.pending.size()) - 2;
  }
  CHECK(hedged > 8);
  // The budget allows 20 saved retries and one for every five of the 29
  // requests.
  CHECK(hedged <= 20 + 29 / 5);
}

}  // namespace wigeonstair::entry
