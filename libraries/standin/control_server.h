#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_CONTROL_SERVER_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_CONTROL_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/monotonic_clock.h"
#include "base/result.h"
#include "net/http_server.h"
#include "settings/value.h"

namespace wigeonstair::standin {

// A request for a fault: POST /faults with
// {"id": "w1" or "*", "fault": "freeze", "duration_ms": 5000}.
struct FaultRequest {
  std::string id;
  std::string fault;
  std::optional<base::Duration> duration;
};

// What a stand-in process answers on its own control address.
struct ControlHandlers {
  // Returns the number of stand-ins that show the fault; nothing when the
  // fault is unknown.
  std::function<std::optional<int>(const FaultRequest&)> set_fault;
  // GET /status.
  std::function<settings::Value()> status;
  // GET /executions?minimum=N; may be empty.
  std::function<settings::Value(std::int64_t)> executions;
};

base::Result<std::unique_ptr<net::HttpServer>> StartControlServer(
    const std::string& address,
    ControlHandlers handlers);

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_CONTROL_SERVER_H_
