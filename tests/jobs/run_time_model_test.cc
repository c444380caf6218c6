#include "jobs/run_time_model.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "base/random.h"
#include "jobs/run_times.h"
#include "net/codec.h"

namespace wigeonstair::jobs {

namespace {

struct Workload {
  int customers = 1;
  int shapes = 1;
  int workers = 40;
  // Of these workers, each `slow_every`th takes three times as long.
  int slow_every = 0;
  // Share of tasks that take seven times as long.
  double tail = 0;
  // Largest factor between the declared and the actual run time.
  double declared_factor = 2;
};

struct Task {
  RunTimeSample sample;
  // On an average worker, without the tail.
  double work_ms = 0;
};

double Between(base::Random& random, double low, double high) {
  return low * std::pow(high / low, random.Fraction());
}

Task Draw(const Workload& load, base::Random& random) {
  const auto customer = static_cast<int>(
      random.Below(static_cast<std::uint64_t>(load.customers)));
  const std::uint64_t shape =
      random.Below(static_cast<std::uint64_t>(load.shapes));
  const std::uint64_t worker =
      random.Below(static_cast<std::uint64_t>(load.workers));
  // Customers and shapes differ by a factor of two each.
  const double work_ms = 3000 * std::exp2(customer) *
                         std::exp2(static_cast<double>(shape)) *
                         Between(random, 0.8, 1.25);
  double run_ms = work_ms * Between(random, 0.9, 1.1);
  if (random.Fraction() < load.tail)
    run_ms *= 7;
  if (load.slow_every > 0 &&
      worker % static_cast<std::uint64_t>(load.slow_every) == 0)
    run_ms *= 3;
  return {.sample = {.key = {.queue = "q",
                             .shape =
                                 TaskShape{.task = {.cpu = 1000 * (shape + 1)}},
                             .customer = base::CustomerId(
                                 "c" + std::to_string(customer))},
                     .declared_ms = static_cast<std::uint32_t>(
                         work_ms * Between(random, 1 / load.declared_factor,
                                           load.declared_factor)),
                     .run_ms = static_cast<std::uint32_t>(run_ms),
                     .worker = base::WorkerId("w" + std::to_string(worker))},
          .work_ms = work_ms};
}

// Adds as a leader does, some at a time.
void Learn(RunTimeModel& model,
           const Workload& load,
           int count,
           base::Random& random) {
  constexpr int kBatch = 20;
  for (int i = 0; i < count; i += kBatch) {
    std::vector<RunTimeSample> batch;
    for (int k = 0; k < kBatch; ++k)
      batch.push_back(Draw(load, random).sample);
    model.Add(batch);
  }
}

// Typical factors between expectation and work.
struct Errors {
  double learned = 0;
  double queue_mean = 0;
  double declared = 0;
};

Errors Compare(const Workload& load, std::uint64_t seed) {
  base::Random random(seed);
  RunTimeModel model;
  QueueMeans means;
  Errors errors;
  constexpr int kTasks = 1000;
  Learn(model, load, 1000, random);
  for (int i = 0; i < kTasks; ++i) {
    const Task task = Draw(load, random);
    const RunTimeSample& sample = task.sample;
    const auto off = [&](double expected_ms) {
      return std::abs(std::log(expected_ms / task.work_ms)) / kTasks;
    };
    errors.learned +=
        off(model.Expect(sample.key, sample.declared_ms).median_ms);
    errors.queue_mean +=
        off(means.Expect(sample.key.queue, sample.declared_ms).median_ms);
    errors.declared += off(sample.declared_ms);
    model.Add({sample});
    means.Record(sample.key.queue, sample.run_ms, sample.declared_ms);
  }
  return errors;
}

RunTimeKey KeyOf(const Workload& load) {
  base::Random random(1);
  return Draw(load, random).sample.key;
}

}  // namespace

// Load pattern: declared run times that are off by half and more.
// The clairvoyant expectation has no error.
TEST_CASE("learned run times are closer than the declared and the mean") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  const Workload load = GENERATE(
      Workload{}, Workload{.declared_factor = 4}, Workload{.tail = 0.03},
      Workload{.customers = 3, .shapes = 3}, Workload{.slow_every = 4},
      Workload{.customers = 3,
               .shapes = 3,
               .slow_every = 4,
               .tail = 0.03,
               .declared_factor = 3});
  const Errors errors = Compare(load, seed);
  UNSCOPED_INFO("learned " << errors.learned << ", queue mean "
                           << errors.queue_mean << ", declared "
                           << errors.declared);
  CHECK(errors.learned < errors.queue_mean);
  CHECK(errors.learned < errors.declared);
}

// Load pattern: one task of thirty takes seven times as long.
TEST_CASE("the high quantile covers the tail and the median does not follow") {
  const Workload load{.tail = 0.03};
  base::Random random(7);
  RunTimeModel model;
  Learn(model, load, 3000, random);
  const RunTimeExpectation expected = model.Expect(KeyOf(load), 0);
  CHECK(expected.median_ms > 3000 / 1.15);
  CHECK(expected.median_ms < 3000 * 1.15);
  CHECK(expected.high_ms > 5 * expected.median_ms);
  CHECK(expected.high_ms < 10 * expected.median_ms);
  CHECK(expected.source == RunTimeSource::kCustomer);
}

TEST_CASE("without samples the declared run time counts") {
  const RunTimeModel model;
  const RunTimeExpectation expected = model.Expect({.queue = "q"}, 500);
  CHECK(expected.median_ms == Approx(500));
  CHECK(expected.source == RunTimeSource::kDeclared);
  CHECK(model.Expect({.queue = "q"}, 0).median_ms == 0);
}

TEST_CASE("a customer without samples gets those of its shape") {
  const Workload load{.shapes = 2};
  base::Random random(3);
  RunTimeModel model;
  Learn(model, load, 1000, random);
  RunTimeKey key = KeyOf(load);
  const double known_ms = model.Expect(key, 0).median_ms;
  key.customer = base::CustomerId("new");
  CHECK(model.Expect(key, 0).source == RunTimeSource::kShape);
  CHECK(model.Expect(key, 0).median_ms == Approx(known_ms).epsilon(0.1));
  key.shape = TaskShape{.task = {.cpu = 77}};
  CHECK(model.Expect(key, 0).source == RunTimeSource::kQueue);
}

// Load pattern: a customer's tasks take twice as long from some day on.
TEST_CASE("old samples fade") {
  base::Random random(5);
  RunTimeModel model;
  Learn(model, {}, 2000, random);
  std::vector<RunTimeSample> later;
  for (int i = 0; i < 300; ++i) {
    later.push_back(Draw({}, random).sample);
    later.back().run_ms *= 2;
  }
  model.Add(later);
  CHECK(model.Expect(KeyOf({}), 0).median_ms == Approx(6000).epsilon(0.15));
}

// Load pattern: a third of all runs is stopped for other work before its end.
// Without the stopped ones, long tasks would be missing.
TEST_CASE("runs that were cut short raise the expectation") {
  base::Random random(9);
  RunTimeModel with;
  RunTimeModel without;
  for (int i = 0; i < 2000; ++i) {
    RunTimeSample sample = Draw({}, random).sample;
    sample.run_ms = static_cast<std::uint32_t>(Between(random, 1000, 9000));
    const auto limit_ms =
        static_cast<std::uint32_t>(Between(random, 2000, 30'000));
    sample.censored = limit_ms < sample.run_ms;
    sample.run_ms = std::min(sample.run_ms, limit_ms);
    with.Add({sample});
    if (!sample.censored)
      without.Add({sample});
  }
  const auto error = [](const RunTimeModel& model) {
    return std::abs(std::log(model.Expect(KeyOf({}), 0).median_ms / 3000));
  };
  CHECK(error(with) < error(without));
  CHECK(error(with) < 0.2);
}

// Load pattern: a customer whose tasks end at once, or take hours.
TEST_CASE("absurd samples of a customer leave the others alone") {
  const std::uint32_t absurd_ms = GENERATE(1, 4'000'000'000);
  const Workload load{.customers = 2};
  base::Random random(11);
  RunTimeModel model;
  Learn(model, load, 1000, random);
  for (int i = 0; i < 1000; ++i) {
    RunTimeSample sample = Draw(load, random).sample;
    if (sample.key.customer == base::CustomerId("c1"))
      sample.run_ms = absurd_ms;
    model.Add({sample});
  }
  RunTimeKey key = KeyOf(load);
  key.customer = base::CustomerId("c0");
  CHECK(model.Expect(key, 0).median_ms == Approx(3000).epsilon(0.15));
}

// Load pattern: a worker reports each task as done at once and so gets more of
// them than any other.
TEST_CASE("a worker that lies does not change what is expected") {
  base::Random random(13);
  RunTimeModel model;
  RunTimeSummary summary;
  std::uint64_t seconds = 0;
  const base::WorkerId liar("w0");
  for (int i = 0; i < 200; ++i) {
    for (int k = 0; k < 20; ++k) {
      RunTimeSample honest = Draw({}, random).sample;
      if (honest.worker != liar)
        summary.Add(honest);
    }
    for (int k = 0; k < 200; ++k) {
      RunTimeSample lie = Draw({}, random).sample;
      lie.worker = liar;
      lie.run_ms = 1;
      summary.Add(lie);
    }
    seconds += 2;
    model.Add(summary.TakeDue(base::Instant(std::chrono::seconds(seconds))));
  }
  CHECK(model.speeds().IsImplausible(liar));
  CHECK(model.Expect(KeyOf({}), 0).median_ms == Approx(3000).epsilon(0.15));
}

// Load pattern: a quarter of the workers takes three times as long.
TEST_CASE("the speed of workers is told apart from the work") {
  const Workload load{.slow_every = 4, .tail = 0.03};
  base::Random random(17);
  RunTimeModel model;
  Learn(model, load, 4000, random);
  const double slow = model.speeds().SlownessOf(base::WorkerId("w4"));
  const double normal = model.speeds().SlownessOf(base::WorkerId("w5"));
  CHECK(slow / normal > 2);
  CHECK(slow / normal < 4);
  CHECK(model.speeds().SlownessOf(base::WorkerId("unknown")) == 1);
}

// Load pattern: a client that sends each job with other resources.
TEST_CASE("the number of keys and workers is bounded") {
  RunTimeModel model;
  std::vector<RunTimeSample> samples;
  for (std::uint64_t i = 0; i < 6000; ++i) {
    samples.push_back(
        {.key = {.queue = "q",
                 .shape = TaskShape{.task = {.cpu = i}},
                 .customer = base::CustomerId("c")},
         .declared_ms = 1000,
         .run_ms = 1000,
         .worker = base::WorkerId("w" + std::to_string(i % 5000))});
  }
  for (std::size_t i = 0; i < samples.size(); i += 100) {
    const auto begin = samples.begin() + static_cast<std::ptrdiff_t>(i);
    model.Add({begin, begin + 100});
  }
  CHECK(model.size() <= 768);
  CHECK(model.speeds().size() <= 4096);
  CHECK(net::Encode(model).size() < 3 * 1024 * 1024);
}

TEST_CASE("a summary is bounded in rate and size") {
  RunTimeSummary summary;
  const auto at = [](int ms) {
    return base::Instant(std::chrono::milliseconds(ms));
  };
  for (int i = 0; i < 5000; ++i)
    summary.Add({.worker = base::WorkerId("w" + std::to_string(i))});
  CHECK(summary.TakeDue(at(1000)).size() == 512);
  summary.Add({});
  CHECK(summary.TakeDue(at(2900)).empty());
  CHECK(summary.TakeDue(at(3000)).size() == 1);
}

TEST_CASE("a model is the same after encoding and for the same samples") {
  const Workload load{.customers = 2, .shapes = 2, .slow_every = 4};
  RunTimeModel model;
  RunTimeModel same;
  base::Random random(19);
  base::Random again(19);
  Learn(model, load, 500, random);
  Learn(same, load, 500, again);
  CHECK(model == same);
  CHECK(net::Decode<RunTimeModel>(net::Encode(model)).value() == model);
}

}  // namespace wigeonstair::jobs
