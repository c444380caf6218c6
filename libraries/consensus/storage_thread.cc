#include "consensus/storage_thread.h"

#include <iterator>
#include <utility>

#include "base/monotonic_clock.h"
#include "base/result.h"

namespace wigeonstair::consensus {

namespace {

// Delay before a failed write is repeated.
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(250);

}  // namespace

StorageThread::StorageThread(StorageThreadOptions options)
    : options_(std::move(options)), thread_([this] { Run(); }) {}

StorageThread::~StorageThread() {
  Stop();
}

void StorageThread::Add(std::vector<StorageTask> tasks) {
  const std::lock_guard lock(mutex_);
  for (StorageTask& task : tasks)
    tasks_.push_back(std::move(task));
  wake_.notify_one();
}

void StorageThread::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  if (thread_.joinable())
    thread_.join();
}

void StorageThread::Run() {
  while (true) {
    std::vector<StorageTask> tasks;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (stopping_)
        return;
      tasks.assign(std::make_move_iterator(tasks_.begin()),
                   std::make_move_iterator(tasks_.end()));
      tasks_.clear();
    }
    if (!WriteAll(tasks) && !WriteAgain(tasks))
      return;
    options_.done(std::move(tasks));
  }
}

bool StorageThread::WriteAgain(const std::vector<StorageTask>& tasks) {
  options_.failed(*options_.storage->failure());
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (wake_.wait_for(lock, kRetryInterval, [this] { return stopping_; }))
        return false;
    }
    const auto recovered =
        base::Capture([&] { return options_.storage->Recover(); });
    if (!std::holds_alternative<base::Error>(recovered) && WriteAll(tasks))
      break;
  }
  options_.recovered();
  return true;
}

bool StorageThread::WriteAll(const std::vector<StorageTask>& tasks) {
  std::vector<PersistBatch> batches;
  for (const StorageTask& task : tasks) {
    if (task.batch)
      batches.push_back(*task.batch);
  }
  if (batches.empty())
    return true;
  const base::Instant start = base::MonotonicClock::now();
  const auto written =
      base::Capture([&] { return options_.storage->Write(batches); });
  options_.write_latency->Record(base::MonotonicClock::now() - start);
  return !std::holds_alternative<base::Error>(written);
}

}  // namespace wigeonstair::consensus
