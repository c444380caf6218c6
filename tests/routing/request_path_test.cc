#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "routing/choose.h"
#include "routing/concurrency_limit.h"
#include "routing/decision_ring.h"
#include "routing/retry_budget.h"
#include "routing/snapshot_builder.h"
#include "routing/snapshot_publisher.h"
#include "routing/upstream_registry.h"

namespace wigeonstair::routing {

namespace {

constexpr int kUpstreams = 12;
constexpr int kSlots = 3;

// The controllers of one entry host, driven by a simulated clock.
struct Controllers {
  Controllers() {
    for (int index = 0; index < kUpstreams; ++index) {
      const Announcement announcement{
          .id = base::UpstreamId("u" + std::to_string(index)),
          .service = "s",
          .domain = base::DomainId("d1"),
          .address = "127.0.0.1:1",
          .slots = kSlots,
          .connections = kSlots,
          .incarnation = 1};
      registry.Apply({.announcement = announcement,
                      .sequence = 1,
                      .reporter = base::HostId("b")},
                     base::Instant{});
    }
    view.revision = 1;
    view.customers.push_back({.id = base::CustomerId("c")});
  }

  std::unique_ptr<const Snapshot> Build() {
    now += std::chrono::milliseconds(100);
    share.Update({}, now);
    return builder.Build(registry.List(), share, view, {}, now);
  }

  base::Instant now{std::chrono::seconds(100)};
  UpstreamRegistry registry{
      {.self = base::HostId("a"), .domain = base::DomainId("d1")}};
  SlotShare share{{.self = base::HostId("a"), .settle_time = {}}};
  SnapshotBuilder builder{{.own_domain = base::DomainId("d1"), .health = {}}};
  ClusterView view;
};

}  // namespace

// Guards against data races on the request path, and against slots that leak or
// are used twice while snapshots are replaced.
TEST_CASE("requests run on many threads while snapshots are replaced") {
  Controllers controllers;
  controllers.Build();
  SnapshotPublisher publisher(controllers.Build());
  ConcurrencyLimit limit;
  RetryBudget budget;
  DecisionRing ring(64);
  constexpr int kThreads = 6;
  constexpr int kRequests = 4000;
  std::atomic<int> running{kThreads};
  std::atomic<int> excess{0};
  std::atomic<int> sent{0};
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int index = 0; index < kThreads; ++index) {
    threads.emplace_back([&, index] {
      for (int request = 0; request < kRequests; ++request) {
        if (!limit.TryEnter())
          continue;
        budget.RecordRequest();
        std::shared_ptr<UpstreamLoad> load;
        {
          const auto snapshot = publisher.Read();
          const RouteDecision decision =
              Choose(*snapshot, {.service = "s", .avoided = {}},
                     static_cast<std::uint64_t>(request) * kThreads +
                         static_cast<std::uint64_t>(index));
          if (decision.upstream != nullptr)
            load = decision.upstream->load;
        }
        if (load != nullptr) {
          ++sent;
          if (load->in_progress > kSlots)
            ++excess;
          if (request % 50 == 0)
            load->RecordFailure();
          else
            load->RecordAnswer(std::chrono::milliseconds(request % 7));
          load->Release();
          auto trace = std::make_unique<RequestTrace>();
          trace->id = std::to_string(request);
          ring.Add(std::move(trace));
        }
        limit.RecordAnswer(std::chrono::milliseconds(1));
        limit.Leave();
      }
      --running;
    });
  }
  while (running > 0) {
    publisher.Publish(controllers.Build());
    limit.Evaluate();
    ring.Find("17");
    budget.TryWithdraw();
  }
  for (std::thread& thread : threads)
    thread.join();
  CHECK(excess == 0);
  CHECK(sent > 0);
  CHECK(limit.in_progress() == 0);
  const auto snapshot = publisher.Read();
  for (const auto& upstream : snapshot->services.at("s").upstreams)
    CHECK(upstream.load->in_progress == 0);
}

// Guards against a change of customers or domains that requests do not see.
TEST_CASE("a snapshot follows the cluster view") {
  Controllers controllers;
  auto first = controllers.Build();
  CHECK(first->customers.contains("c"));
  CHECK(first->own_domain_service == DomainService::kIn);
  controllers.view = {
      .revision = 2, .customers = {}, .domains_out = {base::DomainId("d1")}};
  const auto second = controllers.Build();
  CHECK(second->customers.empty());
  CHECK(second->revision == 2);
  CHECK(second->own_domain_service == DomainService::kOut);
}

}  // namespace wigeonstair::routing
