#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

namespace {

using std::chrono::milliseconds;

constexpr int kCustomers = 3;
// The defaults of routing::RetryBudgetOptions.
constexpr int kSavedRetries = 20;
constexpr double kRetryShare = 0.2;

struct Caller {
  std::string path;
  int customer = 0;
  base::Instant deadline{};
  std::shared_ptr<std::optional<net::HttpResponse>> answer;
};

// Simulates one entry host with upstreams that answer, fail and hang, and
// callers with random deadlines.
class LoadSimulation {
 public:
  LoadSimulation(std::uint64_t seed, InjectedFaults faults)
      : random_(seed), harness_({.faults = faults}) {
    for (const char* upstream : {"u1", "u2", "u3"})
      harness_.AddUpstream(upstream, 4);
    harness_.feed.view.revision = 1;
    for (int customer = 0; customer < kCustomers; ++customer) {
      harness_.feed.view.customers.push_back(
          {.id = Id(customer), .maximum_concurrent_requests = Limit(customer)});
    }
    harness_.Advance(milliseconds(100));
  }

  // Returns the first violation, or an empty string.
  std::string Run(int steps) {
    for (int step = 0; step < steps && violation_.empty(); ++step) {
      const std::uint64_t kind = random_.Below(10);
      if (kind < 4)
        Submit();
      else if (kind < 8)
        AnswerRandomCall();
      else
        AdvanceTime();
      CheckSends();
    }
    if (violation_.empty())
      CheckRelease();
    return violation_;
  }

 private:
  static base::CustomerId Id(int customer) {
    return base::CustomerId("c" + std::to_string(customer));
  }
  static int Limit(int customer) { return 2 + 3 * customer; }

  int InProgress(int customer) const {
    return static_cast<int>(std::count_if(
        callers_.begin(), callers_.end(), [&](const Caller& caller) {
          return caller.customer == customer && !caller.answer->has_value();
        }));
  }

  Caller& Start(int customer, std::uint64_t deadline) {
    Caller caller{.path = "/" + std::to_string(callers_.size()),
                  .customer = customer,
                  .deadline = harness_.clock.now + milliseconds(deadline)};
    net::HttpRequest request = Get(caller.path, Id(customer).value());
    request.headers["Wigeonstair-Deadline-Ms"] = std::to_string(deadline);
    caller.answer = harness_.Start(request);
    callers_.push_back(std::move(caller));
    return callers_.back();
  }

  void Submit() {
    const auto customer = static_cast<int>(random_.Below(kCustomers));
    const int before = InProgress(customer);
    const Caller& caller = Start(customer, 50 + random_.Below(3000));
    const bool refused =
        caller.answer->has_value() && (*caller.answer)->status == 429;
    if (refused != (before >= Limit(customer)))
      violation_ = "the limit of a customer is not enforced";
  }

  void AnswerRandomCall() {
    if (harness_.upstreams.pending.empty())
      return;
    const auto taken = harness_.upstreams.Take(
        random_.Below(harness_.upstreams.pending.size()));
    // Every second block of 100 requests fails at a rate of 90%.
    const bool failing = callers_.size() / 100 % 2 == 1;
    if (random_.Below(10) < (failing ? 9 : 1)) {
      if (random_.Below(2) == 0)
        taken.done(AnswerTo(taken.call, "broken", 500));
      else
        taken.done(Lost());
    } else {
      taken.done(AnswerTo(taken.call, "fine"));
    }
  }

  void AdvanceTime() {
    harness_.HeartbeatAll();
    harness_.Advance(milliseconds(10 + random_.Below(190)));
    CheckSends();
    // A call that exceeds its timeout is lost, as with the real client.
    for (std::size_t i = 0; i < harness_.upstreams.pending.size();) {
      const net::HttpCall& call = harness_.upstreams.pending[i].call;
      if (sent_at_[IdOf(call)] + call.timeout > harness_.clock.now) {
        ++i;
        continue;
      }
      harness_.upstreams.Take(i).done(Lost());
      CheckSends();
      i = 0;
    }
  }

  static std::string IdOf(const net::HttpCall& call) {
    return call.path + "#" +
           std::string(net::HeaderValue(call.headers, "Wigeonstair-Attempt"));
  }

  // Checks the calls sent since the previous check.
  void CheckSends() {
    for (const auto& pending : harness_.upstreams.pending) {
      const net::HttpCall& call = pending.call;
      if (!sent_at_.emplace(IdOf(call), harness_.clock.now).second)
        continue;
      const auto caller = std::find_if(
          callers_.begin(), callers_.end(),
          [&](const Caller& one) { return call.path == one.path; });
      if (caller == callers_.end())
        continue;
      const base::Duration left = caller->deadline - harness_.clock.now;
      const std::string sent_deadline(
          net::HeaderValue(call.headers, "Wigeonstair-Deadline-Ms"));
      if (call.timeout > left ||
          milliseconds(std::stoll(sent_deadline)) >
              std::max<base::Duration>(left, milliseconds(1)))
        violation_ = "an upstream got a later deadline than the caller's";
      if (net::HeaderValue(call.headers, "Wigeonstair-Attempt") != "1")
        ++retries_;
    }
    if (retries_ >
        kSavedRetries + kRetryShare * static_cast<double>(callers_.size()))
      violation_ = "more retries than the budget allows";
  }

  // Once all requests have ended, each customer can use its whole limit again.
  void CheckRelease() {
    while (!harness_.upstreams.pending.empty()) {
      const auto taken = harness_.upstreams.Take();
      taken.done(AnswerTo(taken.call, "fine"));
    }
    harness_.Advance(milliseconds(100));
    for (int customer = 0; customer < kCustomers; ++customer) {
      for (int i = 0; i < Limit(customer); ++i) {
        const Caller& caller = Start(customer, 1000);
        if (caller.answer->has_value() && (*caller.answer)->status == 429)
          violation_ = "a request that ended still counts for its customer";
      }
    }
  }

  base::Random random_;
  Harness harness_;
  std::vector<Caller> callers_;
  std::map<std::string, base::Instant> sent_at_;
  int retries_ = 0;
  std::string violation_;
};

std::string FirstViolation(InjectedFaults faults) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::string violation = LoadSimulation(seed, faults).Run(1500);
    if (!violation.empty())
      return violation;
  }
  return {};
}

}  // namespace

// Guards against upstreams that work past the caller's deadline, retries that
// multiply the load of a failing service, and customers that exceed their limit
// or lose part of it, over random loads.
TEST_CASE("random loads keep deadlines, retries and limits in bounds") {
  const std::string violation = FirstViolation({});
  INFO(violation);
  CHECK(violation.empty());
}

// Shows that the check above detects each injected fault, and by which rule.
TEST_CASE("the check of loads detects injected faults") {
  CHECK(FirstViolation({.ignore_retry_budget = true}) ==
        "more retries than the budget allows");
  CHECK(FirstViolation({.send_full_deadline = true}) ==
        "an upstream got a later deadline than the caller's");
  CHECK(FirstViolation({.ignore_customer_limit = true}) ==
        "the limit of a customer is not enforced");
  CHECK_FALSE(FirstViolation({.leak_customer_count = true}).empty());
}

}  // namespace wigeonstair::entry
