#include "benchmarks/requests/http_benchmark.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <thread>
#include <variant>
#include <vector>

#include "net/http_client.h"

namespace wigeonstair::benchmarks {

namespace {

using SteadyClock = std::chrono::steady_clock;

// Both targets are measured in turns of this length, because the load of other
// programs on the machine changes within seconds.
constexpr auto kTurn = std::chrono::milliseconds(500);
constexpr int kTurns = 9;
// More callers than slots of the upstream would measure the queue.
constexpr int kCallers = 8;

struct Load {
  double calls_per_second = 0;
  double p50_milliseconds = 0;
  double p99_milliseconds = 0;
  int failures = 0;
};

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

net::HttpCall MakeCall(const std::string& address, const std::string& path) {
  return {.address = address,
          .path = path,
          .headers = {{"Wigeonstair-Customer", "c1"},
                      {"Wigeonstair-Request-Id", "benchmark"},
                      {"Wigeonstair-Deadline-Ms", "2000"}}};
}

// Callers that each have one call open, and pause between calls when `rate`
// (calls per second over all callers) is not zero.
Load Measure(net::HttpClient& client, const net::HttpCall& call, double rate) {
  std::atomic<int> failures{0};
  std::vector<std::vector<double>> times(kCallers);
  std::vector<std::thread> threads;
  threads.reserve(times.size());
  const auto begin = SteadyClock::now();
  const auto gap = rate > 0
                       ? std::chrono::nanoseconds(
                             static_cast<std::int64_t>(1e9 * kCallers / rate))
                       : std::chrono::nanoseconds(0);
  for (auto& own : times) {
    threads.emplace_back([&, start = begin + gap * (&own - times.data()) /
                                                 kCallers]() mutable {
      while (SteadyClock::now() < begin + kTurn) {
        std::this_thread::sleep_until(start);
        start += gap;
        const auto sent = SteadyClock::now();
        const net::HttpOutcome outcome = client.SendAndWait(call);
        const auto* answer = std::get_if<net::HttpAnswer>(&outcome);
        if (answer == nullptr || answer->response.status != 200)
          ++failures;
        own.push_back(
            std::chrono::duration<double, std::milli>(SteadyClock::now() - sent)
                .count());
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  const double seconds =
      std::chrono::duration<double>(SteadyClock::now() - begin).count();
  std::vector<double> all;
  for (const auto& own : times)
    all.insert(all.end(), own.begin(), own.end());
  std::sort(all.begin(), all.end());
  return {.calls_per_second = static_cast<double>(all.size()) / seconds,
          .p50_milliseconds = all[all.size() / 2],
          .p99_milliseconds = all[all.size() * 99 / 100],
          .failures = failures.load()};
}

struct Pair {
  double bare = 0;
  double routed = 0;
  // Medians over the turns.
  double ratio = 0;
  double difference = 0;
};

Pair Compare(const std::vector<Load>& bare,
             const std::vector<Load>& routed,
             double Load::*field) {
  std::vector<double> bare_values;
  std::vector<double> routed_values;
  std::vector<double> ratios;
  std::vector<double> differences;
  for (std::size_t turn = 0; turn < bare.size(); ++turn) {
    bare_values.push_back(bare[turn].*field);
    routed_values.push_back(routed[turn].*field);
    ratios.push_back((routed[turn].*field) / (bare[turn].*field));
    differences.push_back(routed[turn].*field - bare[turn].*field);
  }
  return {.bare = Median(bare_values),
          .routed = Median(routed_values),
          .ratio = Median(ratios),
          .difference = Median(differences)};
}

// The loads of each call, one for each turn.
std::vector<std::vector<Load>> MeasureInTurns(
    net::HttpClient& client,
    const std::vector<net::HttpCall>& calls,
    double rate) {
  std::vector<std::vector<Load>> loads(calls.size());
  for (int turn = 0; turn < kTurns; ++turn) {
    for (std::size_t index = 0; index < calls.size(); ++index)
      loads[index].push_back(Measure(client, calls[index], rate));
  }
  return loads;
}

int Failures(const std::vector<Load>& loads) {
  int failures = 0;
  for (const Load& load : loads)
    failures += load.failures;
  return failures;
}

}  // namespace

void ReportHttp(Report& report, const HttpTargets& targets) {
  std::vector<net::HttpCall> calls = {MakeCall(targets.upstream, "/x")};
  for (const std::string& entry : targets.entries)
    calls.push_back(MakeCall(entry, "/v1/services/" + targets.service + "/x"));
  net::HttpClient client;
  for (const net::HttpCall& call : calls)
    Measure(client, call, 0);
  const auto full = MeasureInTurns(client, calls, 0);
  const double half =
      Compare(full[0], full[1], &Load::calls_per_second).routed / 2;
  const auto slow = MeasureInTurns(client, calls, half);
  for (std::size_t index = 1; index < calls.size(); ++index) {
    const int failures = Failures(full[index]) + Failures(slow[index]);
    const auto add = [&](const std::string& measure, const std::string& bare,
                         const std::string& result, const std::string& target,
                         bool met) {
      report.Add(measure + ", " + calls[index].address, bare, result, target,
                 met && failures == 0 ? Verdict::kMet : Verdict::kMissed);
    };
    const Pair rate = Compare(full[0], full[index], &Load::calls_per_second);
    constexpr double kPart = 0.7;
    add("throughput, 8 callers, failures " + std::to_string(failures),
        Format(rate.bare, "/s", 0),
        Format(rate.routed, "/s", 0) + " " + Format(100 * rate.ratio, "%", 0),
        ">= 70 %", rate.ratio >= kPart);
    const Pair median = Compare(slow[0], slow[index], &Load::p50_milliseconds);
    constexpr double kMedian = 0.3;
    add("overhead at half saturation, median", Format(median.bare, "ms"),
        Format(median.difference, "ms"), "< 0.3 ms",
        median.difference < kMedian);
    const Pair tail = Compare(slow[0], slow[index], &Load::p99_milliseconds);
    constexpr double kTail = 1.0;
    add("overhead at half saturation, p99", Format(tail.bare, "ms"),
        Format(tail.difference, "ms"), "< 1 ms", tail.difference < kTail);
  }
}

}  // namespace wigeonstair::benchmarks
