#ifndef WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_AGENT_H_
#define WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_AGENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/monotonic_clock.h"
#include "base/random.h"
#include "base/result.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "settings/value.h"
#include "standin/truncating_server.h"
#include "standin/upstream_model.h"

namespace wigeonstair::standin {

struct UpstreamOptions {
  std::string id;
  std::string service;
  std::string domain;
  std::string ip = "127.0.0.1";
  // 0 is replaced by a free port.
  std::uint16_t port = 0;
  int slots = 8;
  int connections = 64;
  base::Duration service_time = std::chrono::milliseconds(10);
  std::int64_t incarnation = 1;
  // Entry processes; each one gets announcements and heartbeats.
  std::vector<std::string> entries;
  // "http" or "https", to the entry processes.
  std::string entry_scheme = "http";
};

// One upstream: a server for requests and heartbeats to the entry processes.
// Tick, SetFault and Leave are called on the event loop; requests arrive on
// threads of the HTTP server.
class UpstreamAgent : public std::enable_shared_from_this<UpstreamAgent> {
 public:
  struct Environment {
    net::HttpClient& client;
    net::EventLoop& loop;
    base::EventLog& log;
    ExecutionTable& executions;
  };

  static base::Result<std::shared_ptr<UpstreamAgent>> create(
      UpstreamOptions options,
      Environment environment);

  void Tick(base::Instant now);
  void SetFault(UpstreamFault fault,
                std::optional<base::Duration> duration,
                base::Instant now);
  // Leaves all entry processes and answers what hangs.
  void Leave();

  const UpstreamOptions& options() const { return options_; }
  settings::Value Status() const;
  // Calls to entry processes without an answer yet.
  int calls_in_flight() const { return calls_in_flight_.load(); }
  int taken_slots() const { return taken_slots_.load(); }
  void CloseServer() { server_.reset(); }

 private:
  // What one entry process knows of this upstream.
  struct Entry {
    std::string address;
    bool announced = false;
    bool in_flight = false;
    base::Instant next_call{};
  };

  UpstreamAgent(UpstreamOptions options, Environment environment);

  base::Result<std::monostate> Open();
  void OnRequest(const net::HttpRequest& request,
                 const net::HttpResponder& respond);
  bool TakeSlot();
  void Execute(const net::HttpRequest& request,
               const net::HttpResponder& respond);
  net::HttpResponse BuildAnswer(const net::HttpRequest& request,
                                UpstreamFault fault);
  void Hold(std::function<void()> finish);
  void ReleaseHeld();

  void Call(std::size_t entry,
            const std::string& method,
            const std::string& path,
            const settings::Value& body);
  void OnCallAnswer(std::size_t entry, const net::HttpOutcome& outcome);
  settings::Value Announcement() const;
  settings::Value IncarnationBody() const;

  UpstreamOptions options_;
  Environment environment_;
  std::unique_ptr<TruncatingServer> truncating_;
  std::unique_ptr<net::HttpServer> server_;
  std::string address_;
  std::vector<Entry> entries_;
  bool left_ = false;
  std::optional<base::Instant> fault_end_;
  std::atomic<UpstreamFault> fault_{UpstreamFault::kNone};
  std::atomic<int> taken_slots_{0};
  std::atomic<int> calls_in_flight_{0};
  std::atomic<std::int64_t> answered_{0};
  std::atomic<std::int64_t> refused_{0};
  mutable std::mutex mutex_;
  std::vector<std::function<void()>> held_;
  std::string last_request_id_ = "none";
};

}  // namespace wigeonstair::standin

#endif  // WIGEONSTAIR_LIBRARIES_STANDIN_UPSTREAM_AGENT_H_
