#include <catch2/catch.hpp>

#include <string>

#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Quorum = FakeRecords::Quorum;

// Guards I6: a resend through another host gets the stored answer and runs
// nothing.
TEST_CASE("a resend through another host gets the stored answer") {
  records::RecordTable table;
  Harness first({.host = "h1"}, &table);
  Harness second({.host = "h2"}, &table);
  first.AddUpstream("u1");
  second.AddUpstream("u1");
  const net::HttpRequest request = CreditRequest(first, "key-0001");
  const auto answer = first.Start(request);
  const auto running = second.Start(request);
  CHECK(OutcomeOf(*running) == "unknown");
  CHECK(ReasonOf(*running) == "in_progress");
  const auto call = first.upstreams.Take();
  CHECK(call.call.reuse == net::ConnectionReuse::kFresh);
  call.done(AnswerTo(call.call, "credited"));
  CHECK((*answer)->body == "credited");
  const auto resend = second.Start(request);
  CHECK(OutcomeOf(*resend) == "answered");
  CHECK((*resend)->body == "credited");
  CHECK(second.upstreams.pending.empty());
}

// Guards I6: a send whose answer is lost is never repeated.
TEST_CASE("a lost non-idempotent send stays unknown") {
  for (const auto fault :
       {records::ClaimFault::kNone, records::ClaimFault::kSendWithoutClaim}) {
    Harness harness({.faults = {.claim = fault}});
    harness.AddUpstream("u1");
    harness.AddUpstream("u2");
    const net::HttpRequest request = CreditRequest(harness, "key-0001");
    const auto answer = harness.Start(request);
    harness.upstreams.Take().done(Lost());
    CHECK(OutcomeOf(*answer) == "unknown");
    CHECK(harness.upstreams.pending.empty());
    harness.Start(request);
    CHECK(harness.upstreams.pending.empty() ==
          (fault == records::ClaimFault::kNone));
  }
}

// Guards I5 and I6 without a majority: nothing is sent, the request is reported
// as not run, and the key can be used again.
TEST_CASE("without a quorum a first send is refused as not run") {
  Harness harness;
  harness.AddUpstream("u1");
  const net::HttpRequest request = CreditRequest(harness, "key-0001");
  for (const Quorum quorum : {Quorum::kNo, Quorum::kLoseReplies}) {
    harness.records.quorum = quorum;
    const auto refused = harness.Start(request);
    CHECK(OutcomeOf(*refused) == "not-run");
    CHECK(ReasonOf(*refused) == "no_quorum");
    CHECK(harness.upstreams.pending.empty());
  }
  harness.records.quorum = Quorum::kYes;
  harness.Start(request);
  CHECK(harness.upstreams.pending.size() == 1);
}

// Guards I5 on a host whose clock is wrong: a first send is refused with the
// reason, and a resend gets the recorded state instead of a false "not run".
TEST_CASE("a claim refused for a wrong host clock is not run") {
  records::RecordTable table;
  Harness synchronized_host({.host = "h1"}, &table);
  Harness skewed_host({.host = "h2"}, &table);
  synchronized_host.AddUpstream("u1");
  skewed_host.AddUpstream("u1");
  skewed_host.records.quorum = Quorum::kRefuseClock;
  const auto refused =
      skewed_host.Start(CreditRequest(skewed_host, "key-0001"));
  CHECK(OutcomeOf(*refused) == "not-run");
  CHECK(ReasonOf(*refused) == "clock_differs");
  CHECK((*refused)->body.find("the clock is wrong") != std::string::npos);
  net::HttpRequest request = CreditRequest(synchronized_host, "key-0002");
  synchronized_host.Start(request);
  request.headers["Wigeonstair-Resend"] = "true";
  const auto resend = skewed_host.Start(request);
  CHECK(OutcomeOf(*resend) == "unknown");
  CHECK(ReasonOf(*resend) == "in_progress");
  CHECK(skewed_host.upstreams.pending.empty());
}

// Guards I5 for the key: a host that cannot read the record of a resend does
// not report that the work did not run.
TEST_CASE("a resend that cannot be looked up is unknown") {
  Harness harness;
  harness.AddUpstream("u1");
  const net::HttpRequest request = CreditRequest(harness, "key-0001");
  harness.Start(request);
  harness.Heartbeat("u1");
  harness.Advance(milliseconds(1500));
  harness.records.quorum = Quorum::kNo;
  CHECK(OutcomeOf(*harness.Start(request)) == "unknown");
  harness.service.BeginDrain();
  CHECK(OutcomeOf(*harness.Start(request)) == "unknown");
  harness.records.quorum = Quorum::kYes;
  CHECK(ReasonOf(*harness.Start(request)) == "in_progress");
  net::HttpRequest other = CreditRequest(harness, "key-0002");
  other.headers["Wigeonstair-Resend"] = "true";
  const auto refused = harness.Start(other);
  CHECK(OutcomeOf(*refused) == "not-run");
  CHECK(ReasonOf(*refused) == "draining");
}

// Guards against losing a key because its upstream could not be reached.
TEST_CASE("a request that provably was not sent may run later") {
  Harness harness;
  harness.AddUpstream("u1");
  const net::HttpRequest request = CreditRequest(harness, "key-0001");
  const auto refused = harness.Start(request);
  harness.upstreams.Take().done(NotSent());
  CHECK(OutcomeOf(*refused) == "not-run");
  const auto again = harness.Start(request);
  const auto call = harness.upstreams.Take();
  net::HttpAnswer full = AnswerTo(call.call, "", 503);
  full.response.headers["Wigeonstair-Not-Run"] = "true";
  call.done(full);
  CHECK(ReasonOf(*again) == "upstream_refused");
  harness.Start(request);
  CHECK(harness.upstreams.pending.size() == 1);
}

// Guards against running a request under a key that belongs to another request,
// or whose record may have been removed.
TEST_CASE("keys with another body or an impossible time are refused") {
  Harness harness;
  harness.AddUpstream("u1");
  harness.Start(CreditRequest(harness, "key-0001"));
  const auto other =
      harness.Start(CreditRequest(harness, "key-0001", "amount=6"));
  CHECK((*other)->status == 422);
  CHECK(OutcomeOf(*other) == "not-run");

  net::HttpRequest old = CreditRequest(harness, "key-0002");
  old.headers["Request-Issued"] =
      std::to_string(harness.clock.WallMilliseconds() - 16 * 60 * 1000);
  CHECK(ReasonOf(*harness.Start(old)) == "issued_too_long_ago");

  net::HttpRequest future = CreditRequest(harness, "key-0003");
  future.headers["Request-Issued"] =
      std::to_string(harness.clock.WallMilliseconds() + 11'000);
  const auto refused = harness.Start(future);
  CHECK((*refused)->status == 400);
  CHECK(OutcomeOf(*refused) == "not-run");
  CHECK(harness.upstreams.pending.size() == 1);
}

// Guards against a record that stays claimed although its result is known.
TEST_CASE("an answer too large for the record is reported as not kept") {
  Harness harness;
  harness.AddUpstream("u1");
  const net::HttpRequest request = CreditRequest(harness, "key-0001");
  const auto answer = harness.Start(request);
  const auto call = harness.upstreams.Take();
  call.done(AnswerTo(call.call, std::string(20'000, 'x')));
  CHECK((*answer)->body.size() == 20'000);
  const auto resend = harness.Start(request);
  CHECK(OutcomeOf(*resend) == "unknown");
  CHECK(ReasonOf(*resend) == "answer_not_kept");
}

// Guards against claiming a request both here and in the domain to which it is
// forwarded.
TEST_CASE("a forwarded non-idempotent request is claimed only remotely") {
  Harness harness;
  harness.peers.remotes.push_back(
      {.service = "s",
       .remote = {.domain = base::DomainId("d2"), .entry_hosts = {"p1"}}});
  harness.AddUpstream("u1", 1);
  harness.Start(Get());
  const auto spilled = harness.Start(CreditRequest(harness, "key-0001"));
  const auto call = harness.upstreams.Take(1);
  CHECK(call.call.address == "p1");
  CHECK(harness.own_table.record_count() == 0);
  CHECK(net::HeaderValue(call.call.headers, "Request-Key") == "key-0001");
  CHECK_FALSE(net::HeaderValue(call.call.headers, "Request-Issued").empty());
  call.done(Lost());
  CHECK(OutcomeOf(*spilled) == "unknown");
  CHECK(harness.upstreams.pending.size() == 1);
}

}  // namespace wigeonstair::entry
