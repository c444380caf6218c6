#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_MODEL_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_MODEL_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "settings/value.h"

namespace wigeonstair::standin {

enum class UpstreamFault : std::uint8_t {
  kNone,
  // Twenty times the service time.
  kSlow,
  // Requests hold their slot and get no answer until the fault ends.
  kHang,
  // The answer ends before its Content-Length.
  kTruncated,
  // The answer carries the request id of another request.
  kCrossed,
  // Every request gets 500 after it was executed.
  kFailEverything,
  // The upstream leaves properly and refuses new work.
  kLeave,
  // Heartbeats stop and requests hang, as after a lost machine.
  kDie,
};

std::optional<UpstreamFault> ParseUpstreamFault(std::string_view name);

// Counts how often the work of each request key ran, over all upstreams of a
// process. Thread-safe.
class ExecutionTable {
 public:
  void Add(const std::string& key);
  // {"total", "keys", "repeated", "executions": {key: count}} with the keys
  // that ran at least `minimum` times.
  settings::Value ToValue(std::int64_t minimum) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::int64_t> counts_;
  std::int64_t total_ = 0;
};

// The body that every answer has. It repeats the request, so that a caller can
// tell whether the answer is its own.
std::string EchoBody(const std::string& upstream,
                     std::string_view method,
                     std::string_view target,
                     std::string_view body);

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_MODEL_H_
