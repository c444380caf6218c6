#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards I4: a caller gets the complete answer to its own request, even if
// answers arrive out of order.
TEST_CASE("every caller gets the answer to its own request") {
  Harness harness;
  harness.AddUpstream("u1");
  std::vector<std::shared_ptr<std::optional<net::HttpResponse>>> answers;
  answers.reserve(8);
  for (int index = 0; index < 8; ++index)
    answers.push_back(harness.Start(Get("/" + std::to_string(index))));
  REQUIRE(harness.upstreams.pending.size() == 8);
  while (!harness.upstreams.pending.empty()) {
    const auto call =
        harness.upstreams.Take(harness.upstreams.pending.size() / 2);
    call.done(AnswerTo(call.call, "body of " + call.call.path));
  }
  for (int index = 0; index < 8; ++index) {
    const auto& answer = *answers[static_cast<std::size_t>(index)];
    CHECK(OutcomeOf(answer) == "answered");
    CHECK(answer->body == "body of /" + std::to_string(index));
    CHECK(HeaderOf(answer, "Wigeonstair-Upstream") == "u1");
  }
  CHECK(harness.service.in_progress() == 0);
}

// Guards I4: mismatched, truncated and oversized answers never reach a caller.
TEST_CASE("incomplete, mismatched and oversized answers are dropped") {
  for (const auto fault : {AnswerFault::kNone, AnswerFault::kIgnoreRequestId}) {
    Harness harness({.faults = {.answer = fault}});
    harness.AddUpstream("u1");
    const auto first = harness.Start(Get("/1"));
    const auto second = harness.Start(Get("/2"));
    const auto one = harness.upstreams.Take();
    const auto two = harness.upstreams.Take();
    one.done(AnswerTo(two.call, "crossed"));
    const bool reached = first->has_value() && (*first)->body == "crossed";
    CHECK(reached == (fault == AnswerFault::kIgnoreRequestId));
    if (fault == AnswerFault::kNone)
      CHECK(ReasonOf(*first) == "answer_mismatch");
  }
  for (const auto fault : {AnswerFault::kNone, AnswerFault::kIgnoreLength}) {
    Harness harness({.faults = {.answer = fault}});
    harness.AddUpstream("u1");
    const auto answer = harness.Start(Get());
    const auto call = harness.upstreams.Take();
    net::HttpAnswer truncated = AnswerTo(call.call, "whole answer");
    truncated.response.body = "whole";
    call.done(truncated);
    CHECK((OutcomeOf(*answer) == "answered") ==
          (fault == AnswerFault::kIgnoreLength));
  }
  Harness harness;
  harness.AddUpstream("u1");
  const auto large = harness.Start(Get());
  harness.upstreams.Take().done(Lost(base::ErrorCode::kResourceLimit));
  CHECK(OutcomeOf(*large) == "unknown");
  CHECK(ReasonOf(*large) == "answer_too_large");
}

// Guards I5: "not run" is reported only if nothing can have reached an
// upstream.
TEST_CASE("a lost answer is unknown and a refused connection is not run") {
  for (const bool deny : {false, true}) {
    Harness harness({.faults = {.report_lost_as_not_run = deny}});
    harness.AddUpstream("u1");
    const auto lost = harness.Start(Get());
    harness.upstreams.Take().done(Lost());
    CHECK(OutcomeOf(*lost) == (deny ? "not-run" : "unknown"));
    CHECK((*lost)->status == (deny ? 503 : 504));
  }
  Harness harness;
  harness.AddUpstream("u1");
  const auto refused = harness.Start(Get());
  harness.upstreams.Take().done(NotSent());
  CHECK(OutcomeOf(*refused) == "not-run");
  CHECK(ReasonOf(*refused) == "connection_refused");
}

// Guards I5 over several sends: if one may have run, the outcome is unknown.
TEST_CASE("a refusal after a lost send does not become not run") {
  Harness harness;
  harness.AddUpstream("u1");
  harness.AddUpstream("u2");
  const auto answer = harness.Start(Get());
  harness.upstreams.Take().done(Lost());
  REQUIRE(harness.upstreams.pending.size() == 1);
  harness.upstreams.Take().done(NotSent());
  CHECK(OutcomeOf(*answer) == "unknown");
}

// Guards against failing an idempotent request that another upstream can
// answer, and against retrying at the same upstream.
TEST_CASE("an idempotent request is sent to another upstream") {
  Harness harness;
  harness.AddUpstream("u1");
  harness.AddUpstream("u2");
  const auto answer = harness.Start(Get());
  const auto first = harness.upstreams.Take();
  first.done(AnswerTo(first.call, "broken", 500));
  const auto second = harness.upstreams.Take();
  CHECK(net::HeaderValue(second.call.headers, "Wigeonstair-Attempt") == "2");
  second.done(AnswerTo(second.call, "fine"));
  CHECK((*answer)->body == "fine");
}

// Guards against hiding an upstream's own answer behind a failed retry.
TEST_CASE("a server error is passed on when no other upstream answers") {
  Harness harness;
  harness.AddUpstream("u1");
  const auto answer = harness.Start(Get());
  const auto call = harness.upstreams.Take();
  call.done(AnswerTo(call.call, "broken", 500));
  CHECK(OutcomeOf(*answer) == "answered");
  CHECK((*answer)->status == 500);
  CHECK((*answer)->body == "broken");
}

// Guards against sending upstreams a deadline longer than the caller's
// remaining time.
TEST_CASE("the deadline travels with the request") {
  Harness harness;
  harness.AddUpstream("u1", 1);
  net::HttpRequest request = Get();
  request.headers["Wigeonstair-Deadline-Ms"] = "900";
  const auto first = harness.Start(request);
  const auto waiting = harness.Start(request);
  harness.Advance(milliseconds(300));
  const auto call = harness.upstreams.Take();
  CHECK(net::HeaderValue(call.call.headers, "Wigeonstair-Deadline-Ms") ==
        "900");
  call.done(AnswerTo(call.call, "1"));
  const auto next = harness.upstreams.Take();
  CHECK(net::HeaderValue(next.call.headers, "Wigeonstair-Deadline-Ms") ==
        "600");
  next.done(AnswerTo(next.call, "2"));
  CHECK((*waiting)->body == "2");

  const auto late = harness.Start(request);
  const auto expired = harness.Start(request);
  harness.Advance(milliseconds(901));
  CHECK(OutcomeOf(*expired) == "not-run");
  CHECK(ReasonOf(*expired) == "deadline_unreachable");
}

// Guards against an unbounded queue.
TEST_CASE("a full queue refuses requests as not run") {
  Harness harness({.queue_length = 2});
  harness.AddUpstream("u1", 1);
  std::vector<std::shared_ptr<std::optional<net::HttpResponse>>> answers;
  answers.reserve(4);
  for (int index = 0; index < 4; ++index)
    answers.push_back(harness.Start(Get()));
  CHECK(OutcomeOf(*answers[3]) == "not-run");
  CHECK(ReasonOf(*answers[3]) == "queue_full");
  CHECK((*answers[3])->status == 503);
}

// Guards I7: an upstream that has left gets no request, and neither does one
// that has sent no heartbeat for three seconds.
TEST_CASE("an upstream that left or stopped heartbeats gets no requests") {
  for (const auto fault :
       {routing::RegistryFault::kNone, routing::RegistryFault::kIgnoreLeave}) {
    Harness harness({.registry_fault = fault});
    harness.AddUpstream("u1");
    CHECK(harness
              .Call({.method = "POST",
                     .path = "/v1/upstreams/u1/leave",
                     .body = R"({"incarnation":1})"})
              .status == 200);
    const auto answer = harness.Start(Get());
    CHECK(harness.upstreams.pending.empty() ==
          (fault == routing::RegistryFault::kNone));
    if (fault == routing::RegistryFault::kNone)
      CHECK(ReasonOf(*answer) == "no_upstream");
  }
  Harness harness;
  harness.AddUpstream("u1");
  for (int step = 0; step < 31; ++step)
    harness.Advance(milliseconds(100));
  CHECK(ReasonOf(*harness.Start(Get())) == "no_upstream");
  CHECK(harness.upstreams.pending.empty());
}

// Guards I8: a drain refuses new requests as not run and completes those in
// progress.
TEST_CASE("a drain completes all requests in progress") {
  for (const bool fault : {false, true}) {
    Harness harness({.faults = {.accept_while_draining = fault}});
    harness.AddUpstream("u1", 1);
    const auto running = harness.Start(Get("/1"));
    const auto waiting = harness.Start(Get("/2"));
    harness.service.BeginDrain();
    CHECK(harness.service.in_progress() == 2);
    const auto late = harness.Start(Get("/3"));
    CHECK(late->has_value() == !fault);
    if (fault)
      continue;
    CHECK(ReasonOf(*late) == "draining");
    CHECK(harness.Call({.method = "GET", .path = "/healthz"}).status == 503);
    for (int index = 0; index < 2; ++index) {
      const auto call = harness.upstreams.Take();
      call.done(AnswerTo(call.call, "done"));
    }
    CHECK((*running)->body == "done");
    CHECK((*waiting)->body == "done");
    CHECK(harness.service.in_progress() == 0);
  }
}

// Guards against serving customers that exceed their limit or are not
// configured.
TEST_CASE("customer limits and configuration are enforced") {
  Harness harness;
  harness.AddUpstream("u1");
  harness.feed.view = {.revision = 1,
                       .customers = {{.id = base::CustomerId("c1"),
                                      .maximum_concurrent_requests = 1}}};
  harness.Advance(milliseconds(100));
  const auto first = harness.Start(Get());
  const auto second = harness.Start(Get());
  CHECK((*second)->status == 429);
  CHECK(OutcomeOf(*second) == "not-run");
  CHECK((*harness.Start(Get("/x", "stranger")))->status == 403);
  const auto call = harness.upstreams.Take();
  call.done(AnswerTo(call.call, "1"));
  harness.Start(Get());
  CHECK(harness.upstreams.pending.size() == 1);
}

// Guards against routing decisions that are missing from the request trace.
TEST_CASE("the trace of a request explains its routing decisions") {
  Harness harness;
  harness.AddUpstream("u1");
  harness.AddUpstream("u2");
  const auto answer = harness.Start(Get());
  harness.upstreams.Take().done(NotSent());
  const auto call = harness.upstreams.Take();
  call.done(AnswerTo(call.call, "x"));
  const std::string id = HeaderOf(*answer, "Wigeonstair-Request-Id");
  const net::HttpResponse explained =
      harness.Call({.method = "GET", .path = "/v1/requests/" + id});
  CHECK(explained.status == 200);
  for (const char* part : {"\"chosen\"", "higher_cost", "already_failed",
                           "connection_refused", "\"answered\""}) {
    CHECK(explained.body.find(part) != std::string::npos);
  }
  CHECK(harness.Call({.method = "GET", .path = "/v1/requests/none"}).status ==
        404);
}

// Guards against forwarding a request while its own domain has capacity,
// against forwarding loops between domains and against losing the outcome.
TEST_CASE("a request is forwarded if its own domain has no capacity") {
  Harness harness;
  harness.peers.remotes.push_back(
      {.service = "s",
       .remote = {.domain = base::DomainId("d2"), .entry_hosts = {"p1"}}});
  harness.AddUpstream("u1", 1);
  harness.Start(Get("/own"));
  CHECK(harness.upstreams.Take().call.address == "127.0.0.1:9");
  const auto spilled = harness.Start(Get("/far"));
  const auto call = harness.upstreams.Take();
  CHECK(call.call.address == "p1");
  CHECK(call.call.path == "/v1/services/s/far");
  CHECK(net::HeaderValue(call.call.headers, "Wigeonstair-Forwarded") == "d1");
  net::HttpAnswer answer = AnswerTo(call.call, "far away");
  answer.response.headers["Wigeonstair-Outcome"] = "answered";
  call.done(answer);
  CHECK((*spilled)->body == "far away");

  net::HttpRequest forwarded = Get("/back");
  forwarded.headers["Wigeonstair-Forwarded"] = "d2";
  forwarded.headers["Wigeonstair-Request-Id"] = "origin-1";
  const auto refused = harness.Start(forwarded);
  CHECK(ReasonOf(*refused) == "no_capacity");
  CHECK(HeaderOf(*refused, "Wigeonstair-Request-Id") == "origin-1");
}

}  // namespace wigeonstair::entry
