#ifndef WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIME_MODEL_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIME_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/job.h"
#include "jobs/log_histogram.h"
#include "jobs/worker_speeds.h"

namespace wigeonstair::jobs {

// Properties of a step that its run time may depend on.
struct TaskShape {
  Resources task;
  bool gang = false;

  auto operator<=>(const TaskShape&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(task, gang);
  }
};

// The tasks whose run times are described together: those of a customer in a
// queue with one shape, of all customers, or of all shapes.
struct RunTimeKey {
  std::string queue;
  // Empty for all shapes.
  std::optional<TaskShape> shape;
  // Empty for all customers.
  base::CustomerId customer;

  auto operator<=>(const RunTimeKey&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(queue, shape, customer);
  }
};

// A run that ended.
struct RunTimeSample {
  RunTimeKey key;
  // 0 when none was declared.
  std::uint32_t declared_ms = 0;
  // As it would have been inside the rack.
  std::uint32_t run_ms = 0;
  // Empty when several workers determine the run time.
  base::WorkerId worker;
  // The run was cut short or its start is not known: the whole task takes
  // `run_ms` or longer.
  bool censored = false;

  bool operator==(const RunTimeSample&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(key, declared_ms, run_ms, worker, censored);
  }
};

// What an expectation rests on.
enum class RunTimeSource : std::uint8_t {
  kDeclared,
  kQueueMean,
  kQueue,
  kShape,
  kCustomer,
};

std::string_view NameOf(RunTimeSource source);

// The expected run time of a task on an average worker.
struct RunTimeExpectation {
  double median_ms = 0;
  // Exceeded by one task of a hundred.
  double high_ms = 0;
  RunTimeSource source = RunTimeSource::kDeclared;

  bool operator==(const RunTimeExpectation&) const = default;
};

// Run times learned from finished runs. A value without clocks or randomness;
// the same samples in the same order give the same model. Bounded in memory:
// the least recently updated keys are dropped.
class RunTimeModel {
 public:
  // Load pattern: declared run times that are off by half and more, run times
  // with a tail, workers of unequal speed.
  void Add(const std::vector<RunTimeSample>& samples);

  // `key` names a customer and a shape. Without samples of the customer, those
  // of the shape count, then those of the queue, then the declared time.
  RunTimeExpectation Expect(const RunTimeKey& key, double declared_ms) const;

  const WorkerSpeeds& speeds() const { return speeds_; }
  std::size_t size() const { return entries_.size(); }
  std::uint64_t samples() const { return samples_; }
  // Typical factor between a run time and what was expected before the run
  // ended, and between it and the declared time; 1 without samples.
  double ExpectationError() const;
  double DeclarationError() const;

  bool operator==(const RunTimeModel&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(entries_, speeds_, samples_, expectation_error_,
            declaration_error_);
    if constexpr (Archive::is_loading::value)
      Refresh();
  }

 private:
  // What the samples of a key say, with those of the keys above it as far as it
  // has few.
  struct Belief {
    LogDensity run_ms{};
    // In thousandths of the declared run time.
    LogDensity ratio{};
    // The lowest level with enough samples.
    RunTimeSource source = RunTimeSource::kDeclared;

    bool operator==(const Belief&) const = default;
  };

  struct Entry {
    LogHistogram run_ms;
    LogHistogram ratio;
    // Number of the last sample.
    std::uint64_t last_sample = 0;
    Belief belief;

    bool operator==(const Entry&) const = default;

    // `belief` follows from the rest.
    template <typename Archive>
    void serialize(Archive& archive) {  // NOLINT: cereal's name.
      archive(run_ms, ratio, last_sample);
    }
  };

  static const Belief& NoBelief();
  // Of the key, or of the nearest one above it.
  const Belief& BeliefOf(const RunTimeKey& key) const;
  void AddOne(const RunTimeSample& sample);
  void AddTo(const RunTimeKey& key, const RunTimeSample& sample, double run_ms);
  void Refresh();

  // A key sorts after those that it falls back to.
  std::map<RunTimeKey, Entry> entries_;
  WorkerSpeeds speeds_;
  std::uint64_t samples_ = 0;
  // Moving means of the absolute logarithm.
  double expectation_error_ = 0;
  double declaration_error_ = 0;
};

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_RUN_TIME_MODEL_H_
