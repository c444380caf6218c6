#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

namespace {

using std::chrono::milliseconds;
using Response = std::shared_ptr<std::optional<net::HttpResponse>>;

constexpr char kPeer[] = "p1";

void AddRemoteDomain(Harness& harness) {
  harness.peers.remotes.push_back(
      {.service = "s",
       .remote = {.domain = base::DomainId("d2"), .entry_hosts = {kPeer}}});
}

void TakeOwnDomainOut(Harness& harness) {
  harness.feed.view.domains_out = {base::DomainId("d1")};
  harness.Advance(milliseconds(100));
}

std::vector<Response> StartMany(Harness& harness, int count) {
  std::vector<Response> answers;
  answers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    answers.push_back(harness.Start(Get("/" + std::to_string(i))));
  return answers;
}

void AnswerAsPeer(const FakeUpstreams::Pending& pending) {
  net::HttpAnswer answer = AnswerTo(pending.call, "from d2");
  answer.response.headers["Wigeonstair-Outcome"] = "answered";
  pending.done(answer);
}

void RefuseAsPeer(const FakeUpstreams::Pending& pending) {
  net::HttpAnswer answer = AnswerTo(pending.call, "{}", 503);
  answer.response.headers["Wigeonstair-Outcome"] = "not-run";
  answer.response.headers["Wigeonstair-Reason"] = "no_capacity";
  pending.done(answer);
}

}  // namespace

// Guards against requests that stay queued until they are shed after operators
// have taken their domain out of service, although another domain could serve
// them.
TEST_CASE("waiting requests go to another domain when theirs is taken out") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  const Response running = harness.Start(Get("/running"));
  const auto waiting = StartMany(harness, 3);
  REQUIRE(harness.upstreams.pending.size() == 1);
  const auto own = harness.upstreams.Take();
  AddRemoteDomain(harness);
  TakeOwnDomainOut(harness);
  REQUIRE(harness.upstreams.pending.size() == 3);
  while (!harness.upstreams.pending.empty()) {
    const auto call = harness.upstreams.Take();
    CHECK(call.call.address == kPeer);
    AnswerAsPeer(call);
  }
  for (const Response& answer : waiting)
    CHECK((*answer)->body == "from d2");
  // A request that was already running in the domain completes there.
  own.done(AnswerTo(own.call, "from d1"));
  CHECK((*running)->body == "from d1");
  CHECK(harness.service.in_progress() == 0);
}

// Guards against forwarding a long queue to another domain all at once, and
// against failing a request because that domain was full.
TEST_CASE("a waiting request that another domain refuses waits again") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  const Response running = harness.Start(Get("/running"));
  const auto own = harness.upstreams.Take();
  AddRemoteDomain(harness);
  harness.Advance(milliseconds(100));
  // The first of the 20 requests is routed directly; the queue is forwarded in
  // batches.
  const auto waiting = StartMany(harness, 20);
  while (!harness.upstreams.pending.empty())
    RefuseAsPeer(harness.upstreams.Take());
  for (const Response& answer : waiting)
    CHECK_FALSE(answer->has_value());
  // The domain is not tried again before the back-off has passed, and then only
  // with a part of the queue.
  harness.Advance(milliseconds(20));
  CHECK(harness.upstreams.pending.empty());
  harness.Advance(milliseconds(10));
  CHECK_FALSE(harness.upstreams.pending.empty());
  CHECK(harness.upstreams.pending.size() < routing::RemoteLoad::kInitialWindow);
  while (!harness.upstreams.pending.empty())
    RefuseAsPeer(harness.upstreams.Take());
  // The upstream of the host's own domain takes the next request.
  own.done(AnswerTo(own.call, "from d1"));
  CHECK((*running)->body == "from d1");
  REQUIRE(harness.upstreams.pending.size() == 1);
  for (std::size_t left = waiting.size(); left > 0; --left) {
    const auto call = harness.upstreams.Take();
    CHECK(call.call.address != kPeer);
    call.done(AnswerTo(call.call, "from d1"));
  }
  for (const Response& answer : waiting)
    CHECK((*answer)->body == "from d1");
}

// Guards against an immediate refusal while the host's own domain is out of
// service and the other domains are briefly full.
TEST_CASE("a request waits for a full domain while its own is out") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  AddRemoteDomain(harness);
  TakeOwnDomainOut(harness);
  const Response answer = harness.Start(Get());
  RefuseAsPeer(harness.upstreams.Take());
  CHECK_FALSE(answer->has_value());
  harness.Advance(milliseconds(110));
  AnswerAsPeer(harness.upstreams.Take());
  CHECK((*answer)->body == "from d2");
}

// Guards against requests that bounce between full domains. A forwarded request
// is queued in the other domain only if its own domain is out of service, and
// is never forwarded again.
TEST_CASE("a forwarded request waits only where its own domain is out") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  AddRemoteDomain(harness);
  harness.Advance(milliseconds(100));
  harness.Start(Get("/running"));
  const auto own = harness.upstreams.Take();
  net::HttpRequest forwarded = Get("/forwarded");
  forwarded.headers["Wigeonstair-Forwarded"] = "d3";
  const Response refused = harness.Start(forwarded);
  CHECK(ReasonOf(*refused) == "no_capacity");
  forwarded.headers["Wigeonstair-May-Wait"] = "true";
  const Response waiting = harness.Start(forwarded);
  harness.Advance(milliseconds(100));
  CHECK_FALSE(waiting->has_value());
  CHECK(harness.upstreams.pending.empty());

  const Response spilled = harness.Start(Get("/spilled"));
  const auto first = harness.upstreams.Take();
  CHECK(net::HeaderValue(first.call.headers, "Wigeonstair-May-Wait").empty());
  RefuseAsPeer(first);
  TakeOwnDomainOut(harness);
  harness.Advance(milliseconds(10));
  const auto second = harness.upstreams.Take();
  CHECK(net::HeaderValue(second.call.headers, "Wigeonstair-May-Wait") ==
        "true");
  AnswerAsPeer(second);
  CHECK((*spilled)->body == "from d2");
  own.done(AnswerTo(own.call, "from d1"));
}

// Guards against a forwarded request that stays queued until it is shed in a
// domain that is taken out as well. Returned to its first host, it can be
// forwarded to a third domain.
TEST_CASE("a forwarded request goes back when the domain is taken out") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  AddRemoteDomain(harness);
  harness.Start(Get("/running"));
  const auto own = harness.upstreams.Take();
  net::HttpRequest forwarded = Get("/forwarded");
  forwarded.headers["Wigeonstair-Forwarded"] = "d3";
  forwarded.headers["Wigeonstair-May-Wait"] = "true";
  const Response waiting = harness.Start(forwarded);
  TakeOwnDomainOut(harness);
  CHECK(OutcomeOf(*waiting) == "not-run");
  CHECK(ReasonOf(*waiting) == "no_upstream");
  CHECK(harness.upstreams.pending.empty());
  own.done(AnswerTo(own.call, "from d1"));
}

// Guards I6 and I5: while a request is queued, its caller may resend it through
// another host. The peer must then read the record before it reports "not run".
TEST_CASE("a forwarded request that waited counts as a possible resend") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  harness.Start(Get("/running"));
  const auto own = harness.upstreams.Take();
  const Response answer = harness.Start(CreditRequest(harness, "credit-key-1"));
  CHECK(harness.upstreams.pending.empty());
  AddRemoteDomain(harness);
  harness.Advance(milliseconds(100));
  REQUIRE(harness.upstreams.pending.size() == 1);
  const auto forwarded = harness.upstreams.Take();
  CHECK(net::HeaderValue(forwarded.call.headers, "Wigeonstair-Resend") ==
        "true");
  CHECK(net::HeaderValue(forwarded.call.headers, "Request-Key") ==
        "credit-key-1");
  // The request is not sent again when the outcome at the peer is unknown (I6).
  forwarded.done(Lost());
  CHECK(OutcomeOf(*answer) == "unknown");
  CHECK(harness.upstreams.pending.empty());
  own.done(AnswerTo(own.call, "from d1"));
}

}  // namespace wigeonstair::entry
