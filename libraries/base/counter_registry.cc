#include "base/counter_registry.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace wigeonstair::base {

namespace {

constexpr int kBucketsPerDoubling = 4;

int BucketOf(Duration latency) {
  if (latency.count() <= 1)
    return 0;
  const double doublings = std::log2(static_cast<double>(latency.count()));
  // The small allowance keeps exact bounds in their own bucket in spite of
  // rounding.
  const int bucket =
      static_cast<int>(std::ceil(doublings * kBucketsPerDoubling - 1e-9));
  return std::min(bucket, LatencyHistogram::kBuckets - 1);
}

std::string BaseName(const std::string& name) {
  return name.substr(0, name.find('{'));
}

// Turns name{a="b"} and extra into name_suffix{a="b",extra}.
std::string Labelled(const std::string& name,
                     const std::string& suffix,
                     const std::string& extra) {
  const std::size_t brace = name.find('{');
  std::string labels;
  if (brace != std::string::npos)
    labels = name.substr(brace + 1, name.size() - brace - 2);
  if (!labels.empty() && !extra.empty())
    labels += ",";
  labels += extra;
  std::string text = BaseName(name) + suffix;
  if (!labels.empty())
    text += "{" + labels + "}";
  return text;
}

void WriteType(std::ostringstream& output,
               std::string& last_base,
               const std::string& name,
               const char* type) {
  const std::string base = BaseName(name);
  if (base == last_base)
    return;
  last_base = base;
  output << "# TYPE " << base << " " << type << "\n";
}

}  // namespace

void LatencyHistogram::Record(Duration latency) {
  buckets_[static_cast<std::size_t>(BucketOf(latency))].fetch_add(
      1, std::memory_order_relaxed);
  sum_microseconds_.fetch_add(
      static_cast<std::uint64_t>(std::max<Duration::rep>(latency.count(), 0)),
      std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const {
  std::uint64_t total = 0;
  for (const auto& bucket : buckets_)
    total += bucket.load(std::memory_order_relaxed);
  return total;
}

Duration LatencyHistogram::Quantile(double quantile) const {
  const std::uint64_t total = count();
  if (total == 0)
    return Duration::zero();
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(total)));
  std::uint64_t seen = 0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    seen += buckets_[static_cast<std::size_t>(bucket)].load(
        std::memory_order_relaxed);
    if (seen >= std::max<std::uint64_t>(rank, 1))
      return BucketUpperBound(bucket);
  }
  return BucketUpperBound(kBuckets - 1);
}

Duration LatencyHistogram::BucketUpperBound(int bucket) {
  return Duration(static_cast<Duration::rep>(std::ceil(
      std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling) - 1e-9)));
}

Counter& CounterRegistry::counter(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& slot = counters_[name];
  if (!slot)
    slot = std::make_unique<Counter>();
  return *slot;
}

Gauge& CounterRegistry::gauge(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& slot = gauges_[name];
  if (!slot)
    slot = std::make_unique<Gauge>();
  return *slot;
}

LatencyHistogram& CounterRegistry::histogram(const std::string& name) {
  std::lock_guard lock(mutex_);
  auto& slot = histograms_[name];
  if (!slot)
    slot = std::make_unique<LatencyHistogram>();
  return *slot;
}

std::string CounterRegistry::Render() const {
  std::lock_guard lock(mutex_);
  std::ostringstream output;
  std::string last_base;
  for (const auto& [name, counter] : counters_) {
    WriteType(output, last_base, name, "counter");
    output << name << " " << counter->value() << "\n";
  }
  for (const auto& [name, gauge] : gauges_) {
    WriteType(output, last_base, name, "gauge");
    output << name << " " << gauge->value() << "\n";
  }
  for (const auto& [name, histogram] : histograms_) {
    WriteType(output, last_base, name, "histogram");
    std::uint64_t seen = 0;
    for (int bucket = 0; bucket < LatencyHistogram::kBuckets; ++bucket) {
      const std::uint64_t here =
          histogram->buckets_[static_cast<std::size_t>(bucket)].load(
              std::memory_order_relaxed);
      if (here == 0)
        continue;
      seen += here;
      const double seconds =
          static_cast<double>(
              LatencyHistogram::BucketUpperBound(bucket).count()) /
          1e6;
      std::ostringstream bound;
      bound << "le=\"" << seconds << "\"";
      output << Labelled(name, "_bucket", bound.str()) << " " << seen << "\n";
    }
    output << Labelled(name, "_bucket", "le=\"+Inf\"") << " " << seen << "\n";
    output << Labelled(name, "_sum", "") << " "
           << static_cast<double>(histogram->sum_microseconds_.load(
                  std::memory_order_relaxed)) /
                  1e6
           << "\n";
    output << Labelled(name, "_count", "") << " " << seen << "\n";
  }
  return output.str();
}

}  // namespace wigeonstair::base
