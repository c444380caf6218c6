#include "benchmarks/requests/decision_benchmark.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "routing/snapshot_publisher.h"

namespace wigeonstair::benchmarks {

namespace {

using routing::Snapshot;
using SteadyClock = std::chrono::steady_clock;

constexpr int kThreads = 8;
constexpr int kBatch = 200;
constexpr int kSlots = 8;
constexpr auto kLength = std::chrono::seconds(2);
constexpr auto kReplaceInterval = std::chrono::milliseconds(10);

std::unique_ptr<const Snapshot> Copy(const Snapshot& snapshot) {
  return std::make_unique<const Snapshot>(snapshot);
}

Snapshot MakeSnapshot(int upstreams) {
  Snapshot snapshot;
  snapshot.own_domain = base::DomainId("d1");
  routing::ServiceEntry& service = snapshot.services["booking"];
  for (int index = 0; index < upstreams; ++index) {
    const std::string id = "upstream-" + std::to_string(index);
    auto load = std::make_shared<routing::UpstreamLoad>();
    load->RecordAnswer(std::chrono::milliseconds(10 + index % 10));
    service.upstreams.push_back({.announcement = {.id = base::UpstreamId(id),
                                                  .service = "booking",
                                                  .address = "127.0.0.1:80",
                                                  .slots = kSlots},
                                 .limit = kSlots,
                                 .load = std::move(load)});
  }
  return snapshot;
}

void Decide(const routing::SnapshotPublisher& publisher,
            routing::SelectionPolicy policy,
            std::uint64_t seed) {
  const auto snapshot = publisher.Read();
  const routing::RouteDecision decision = routing::Choose(
      *snapshot, {.service = "booking", .avoided = {}, .policy = policy}, seed);
  if (decision.upstream != nullptr)
    decision.upstream->load->Release();
}

}  // namespace

DecisionTimes MeasureDecisions(int upstreams, routing::SelectionPolicy policy) {
  const Snapshot original = MakeSnapshot(upstreams);
  routing::SnapshotPublisher publisher(Copy(original));
  std::atomic<bool> stop{false};
  std::vector<std::vector<double>> times(kThreads);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      std::uint64_t seed = static_cast<std::uint64_t>(thread) << 40U;
      while (!stop.load(std::memory_order_relaxed)) {
        const auto begin = SteadyClock::now();
        for (int count = 0; count < kBatch; ++count)
          Decide(publisher, policy, ++seed);
        const std::chrono::duration<double, std::nano> took =
            SteadyClock::now() - begin;
        times[static_cast<std::size_t>(thread)].push_back(took.count() /
                                                          kBatch);
      }
    });
  }
  const auto end = SteadyClock::now() + kLength;
  while (SteadyClock::now() < end) {
    std::this_thread::sleep_for(kReplaceInterval);
    publisher.Publish(Copy(original));
  }
  stop = true;
  for (std::thread& thread : threads)
    thread.join();
  std::vector<double> all;
  for (const auto& part : times)
    all.insert(all.end(), part.begin(), part.end());
  std::sort(all.begin(), all.end());
  return {.median_nanoseconds = all[all.size() / 2],
          .p99_nanoseconds = all[all.size() * 99 / 100]};
}

}  // namespace wigeonstair::benchmarks
