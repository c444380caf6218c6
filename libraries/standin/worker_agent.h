#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_AGENT_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_AGENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "standin/worker_model.h"

namespace wigeonstair::standin {

enum class WorkerFault : std::uint8_t {
  kNone,
  // Every task fails when it is started.
  kFailEverything,
  // Usage is measured only every 30 s.
  kLagUsage,
  // Nothing happens; answers that arrive are handled when the freeze ends.
  kFreeze,
  // The worker is gone with its tasks and returns as a new incarnation.
  kVanish,
};

std::optional<WorkerFault> ParseWorkerFault(std::string_view name);

// Connects one WorkerModel to the control processes: registers, keeps a report
// waiting at the authority, reports at once on news, follows 421 and 404. All
// members are called on the event loop.
class WorkerAgent : public std::enable_shared_from_this<WorkerAgent> {
 public:
  struct Options {
    WorkerOptions worker;
    // Control processes, tried in turn.
    std::vector<std::string> servers;
    std::string scheme = "http";
  };

  WorkerAgent(Options options,
              net::HttpClient& client,
              net::EventLoop& loop,
              base::EventLog& log);

  // Called often, such as every 20 ms.
  void Tick(base::Instant now);
  // A freeze or vanish ends after `duration`; without one it lasts.
  void SetFault(WorkerFault fault,
                std::optional<base::Duration> duration,
                base::Instant now);
  // Sends nothing any more but a last report, which makes the authority answer
  // the one that it holds.
  void Stop(base::Instant now);

  bool in_flight() const { return in_flight_ > 0; }
  bool registered() const { return registered_; }
  const WorkerModel& model() const { return model_; }

 private:
  // What an answer is matched with.
  struct Call {
    std::int64_t generation = 0;
    std::int64_t sequence = 0;
    base::Instant sent_at{};
  };

  bool IsAbsent(base::Instant now) const;
  void EndAbsence(base::Instant now);
  std::string WorkerPath() const;
  std::string ReportPath() const;
  void Send(std::string method, std::string path, const settings::Value& body);
  void Handle(const net::HttpOutcome& outcome, const Call& call);
  void HandleAnswer(const net::HttpResponse& response, const Call& call);
  void HandleBody(const std::string& body, const Call& call);
  void HandleReportAnswer(const ReportAnswer& answer, const Call& call);
  // Ends the registration; the next call registers with `server_`.
  void RegisterAnew(base::Instant at);
  void TryNextServer(base::Instant now);

  const Options options_;
  net::HttpClient& client_;
  net::EventLoop& loop_;
  base::EventLog& log_;
  WorkerModel model_;
  std::string server_;
  std::size_t next_server_ = 0;
  bool registered_ = false;
  // Calls without an answer.
  int in_flight_ = 0;
  // Those of this generation. News do not wait for the answer to the report
  // before, which the authority may hold.
  int open_calls_ = 0;
  // Raised when the worker turns to a server anew; answers to the calls before
  // concern nobody.
  std::int64_t generation_ = 0;
  base::Duration wait_{0};
  bool stopped_ = false;
  base::Duration report_interval_ = std::chrono::seconds(1);
  base::Instant next_call_{};
  WorkerFault fault_ = WorkerFault::kNone;
  std::optional<base::Instant> absent_until_;
  // Answers that arrived during a freeze.
  std::vector<std::function<void()>> held_answers_;
};

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_WORKER_AGENT_H_
