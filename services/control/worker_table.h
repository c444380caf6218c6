#ifndef WIGEONSTAIR_SERVICES_CONTROL_WORKER_TABLE_H_
#define WIGEONSTAIR_SERVICES_CONTROL_WORKER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/monotonic_clock.h"
#include "base/strong_id.h"
#include "placement/events.h"
#include "services/control/worker_protocol.h"

namespace wigeonstair::control {

// Whether directives that make something run may leave now.
enum class StartPermission : std::uint8_t {
  kDenied,
  kGranted,
  // Running tasks are not renewed either, so that they stop.
  kWithdrawn,
};

// What the authority of a failure domain knows of each worker's connection:
// what it last reported, which directives it has not carried out, and when its
// lease ends. Pure.
class WorkerTable {
 public:
  struct Options {
    std::int64_t epoch = 0;
    base::Duration lease = std::chrono::seconds(10);
    // Clocks of workers may run this much slower than ours.
    double clock_drift = 0.01;
  };

  explicit WorkerTable(Options options);

  // Takes a worker in, or its new incarnation. False when the incarnation is
  // older than the known one.
  bool Register(const WorkerRegistration& registration, base::Instant now);

  // Turns a report into engine events. Empty when the worker has to register
  // first.
  std::optional<std::vector<placement::Event>> Report(
      const WorkerReport& report,
      base::Instant now);

  // Whether the report is the newest one of its worker. Asked after Report().
  bool IsNewest(const WorkerReport& report) const;

  // Whether the worker's newest report should be answered at once: it is the
  // first one, or a directive has not left, or all tasks are asked for.
  bool NeedsAnswer(const base::WorkerId& worker,
                   StartPermission permission) const;

  // The answer to the newest report: it renews the lease from the arrival of
  // that report and holds the directives that were not carried out yet.
  ReportAnswer Answer(const base::WorkerId& worker, StartPermission permission);

  // The answer to a report that a newer one has replaced. Directives are left
  // to the answer to the newer one.
  ReportAnswer AnswerReplaced(const base::WorkerId& worker,
                              StartPermission permission);

  // Queues a directive and gives it an id. A stop or abort replaces directives
  // for the same task that have not been sent.
  void Send(const base::WorkerId& worker, Directive directive);

  // Workers whose lease has run out; they are forgotten.
  std::vector<base::WorkerId> TakeLost(base::Instant now);

  // Workers that were sent a directive since the last call.
  std::set<base::WorkerId> TakeAddressed();

  // The lease of answers from now on.
  void set_lease(base::Duration lease) { lease_ = lease; }
  std::size_t size() const { return sessions_.size(); }

 private:
  struct PendingDirective {
    Directive directive;
    // kLost: it left with an answer that the worker did not get.
    enum class Sent : std::uint8_t { kNo, kYes, kLost };
    Sent sent = Sent::kNo;
    // The report whose answer it left with.
    std::int64_t sent_sequence = 0;
  };
  struct Session {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    // When the newest report or the registration arrived.
    base::Instant heard_at{};
    base::Instant lease_end{};
    enum class Answered : std::uint8_t { kNo, kYes };
    Answered answered = Answered::kNo;
    std::map<placement::TaskKey, placement::ReportedTask> tasks;
    std::map<std::int64_t, PendingDirective> directives;
    ReportScope wanted_scope = ReportScope::kChanges;
  };

  void RenewLease(Session& session) const;
  static void MarkLostDirectives(Session& session, const WorkerReport& report);
  static void AddCompletions(Session& session,
                             const WorkerReport& report,
                             std::vector<placement::Event>& events);
  static void AddChanges(Session& session,
                         const WorkerReport& report,
                         std::vector<placement::Event>& events);

  const Options options_;
  base::Duration lease_;
  std::set<base::WorkerId> addressed_;
  std::int64_t next_directive_ = 0;
  std::map<base::WorkerId, Session> sessions_;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_WORKER_TABLE_H_
