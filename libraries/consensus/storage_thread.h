#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_STORAGE_THREAD_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_STORAGE_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "base/counter_registry.h"
#include "base/error.h"
#include "consensus/log_storage.h"
#include "consensus/replica_driver.h"

namespace wigeonstair::consensus {

struct StorageThreadOptions {
  std::unique_ptr<Disk> disk;
  std::unique_ptr<LogStorage> storage;
  // Called on the storage thread with tasks that are durable.
  std::function<void(std::vector<StorageTask>)> done;
  // Called on the storage thread when a write failed. It is repeated until it
  // succeeds; no task is done meanwhile.
  std::function<void(const base::Error&)> failed;
  // Called on the storage thread when the repeated write succeeded, before
  // `done`.
  std::function<void()> recovered;
  // Outlives the thread.
  base::LatencyHistogram* write_latency = nullptr;
};

// Writes batches on a thread of its own. Tasks that wait while a write runs
// share the next one, so a slow disk gets larger writes and not a longer queue.
class StorageThread {
 public:
  explicit StorageThread(StorageThreadOptions options);
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  void Add(std::vector<StorageTask> tasks);
  // Drops what waits and ends the thread. Not from `done` or `failed`.
  void Stop();

 private:
  void Run();
  bool WriteAll(const std::vector<StorageTask>& tasks);
  // Returns false when the thread has to stop.
  bool WriteAgain(const std::vector<StorageTask>& tasks);

  StorageThreadOptions options_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<StorageTask> tasks_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_STORAGE_THREAD_H_
