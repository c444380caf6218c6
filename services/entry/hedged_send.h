#ifndef WIGEONSTAIR_SERVICES_ENTRY_HEDGED_SEND_H_
#define WIGEONSTAIR_SERVICES_ENTRY_HEDGED_SEND_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/http_client.h"
#include "routing/hedging.h"
#include "routing/service_gate.h"
#include "services/entry/answer_check.h"
#include "services/entry/blackboard.h"

namespace wigeonstair::entry {

struct UpstreamSend {
  net::HttpCall call;
  std::string request_id;
  std::string service;
  base::Instant deadline{};
  routing::HedgeSafety safety = routing::HedgeSafety::kNotIdempotent;
  // Copies of the request sent so far, including this one.
  int copies = 1;
  int attempt = 1;
  // Ids of upstreams that the second copy must not be sent to.
  std::vector<std::string> avoided;
  std::shared_ptr<routing::ServiceGate> gate;
  // The reserved slot, which is released when the send ends.
  routing::ReservedUpstream upstream;
};

struct UpstreamSendResult {
  SendOutcome outcome;
  // The upstreams that received a copy; two if the request was hedged.
  std::vector<base::UpstreamId> upstreams;
};

// Sends one request to its upstream, and a second copy to another upstream if
// the answer is slow (hedging). The first complete answer that is not a server
// error wins; the answer of the other copy only updates the load of its
// upstream. Without such an answer, the result is reported when every copy has
// ended.
class HedgedSend : public std::enable_shared_from_this<HedgedSend> {
 public:
  using Done = std::function<void(UpstreamSendResult)>;

  // Calls `done` exactly once, on any thread.
  static void Start(Blackboard& blackboard, UpstreamSend send, Done done);

  HedgedSend(Blackboard& blackboard, UpstreamSend send, Done done);

 private:
  struct Copy {
    routing::ReservedUpstream upstream;
    base::Instant sent{};
  };

  void ScheduleSecondCopy();
  void OnHedgeDelayElapsed();
  // Must be called with the mutex held.
  routing::HedgeDecision Decide(
      const std::optional<routing::ReservedUpstream>& second) const;
  std::optional<routing::ReservedUpstream> ReserveSecond() const;
  void Dispatch(std::size_t index, net::HttpCall call);
  void OnOutcome(std::size_t index, const net::HttpOutcome& outcome);
  void RecordLoad(const Copy& copy, const SendOutcome& outcome);

  Blackboard& blackboard_;
  UpstreamSend send_;
  Done done_;

  std::mutex mutex_;
  // Cancels the timer of the second copy; empty once the request has ended.
  std::function<void()> cancel_timer_;
  std::vector<Copy> copies_;
  std::size_t pending_copies_ = 0;
  bool ended_ = false;
  std::optional<SendOutcome> best_outcome_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_HEDGED_SEND_H_
