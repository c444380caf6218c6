#ifndef WIGEONSTAIR_SERVICES_ENTRY_REQUEST_FLOW_H_
#define WIGEONSTAIR_SERVICES_ENTRY_REQUEST_FLOW_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http.h"
#include "records/claim_session.h"
#include "routing/choose.h"
#include "routing/decision_ring.h"
#include "routing/outcome.h"
#include "routing/service_gate.h"
#include "routing/snapshot.h"
#include "services/entry/answer_check.h"
#include "services/entry/blackboard.h"
#include "services/entry/caller_request.h"
#include "services/entry/hedged_send.h"

namespace wigeonstair::entry {

// Handles one caller's request from arrival to answer. Its steps run one after
// another on the threads of the callbacks, never concurrently.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  // Answers through `responder` exactly once.
  static void Start(Blackboard& blackboard,
                    CallerRequest request,
                    net::HttpResponder responder);

  RequestFlow(Blackboard& blackboard,
              CallerRequest request,
              net::HttpResponder responder);

 private:
  // Admission.
  void Admit();
  bool CountCustomerRequest(const routing::Snapshot& snapshot);
  void Wait();
  void OnQueueResult(routing::AdmissionResult turn);
  void HandleQueueResult(routing::ReservedUpstream upstream);
  void HandleQueueResult(const routing::ForwardTarget& target);
  void HandleQueueResult(routing::ReasonCode reason);
  void LogQueueResult(const char* reason, const std::string& target);
  bool TryEnterLimit();

  // Routing.
  void Route();
  void LogDecision(const routing::RouteDecision& decision,
                   const std::string& target);
  void UseUpstream(routing::ReservedUpstream upstream);

  // Claims on the request records of non-idempotent requests.
  void ProposeClaim();
  void OnClaimReply(const RecordClient::Reply& reply);
  void RefuseUnclaimed(const records::ClaimDecision& decision);
  void LookUpRecord(routing::ReasonCode reason, const std::string& detail);
  void ReportResult(const records::SendResult& result);

  // Sending.
  void SendToUpstream();
  void OnUpstreamOutcome(UpstreamSendResult result);
  void SendToPeer(const std::string& address,
                  const std::shared_ptr<routing::RemoteLoad>& load);
  void OnPeerOutcome(const net::HttpOutcome& outcome,
                     const std::string& address,
                     routing::RemoteLoad& load);
  net::HttpCall MakeCall(const std::string& address) const;
  base::Duration SendTimeout() const;
  void HandleUpstreamOutcome(SendOutcome outcome);
  bool MayRetry() const;
  void RetryOrFinish(routing::RequestOutcome outcome, const char* reason);

  // Completion.
  bool MayHaveRunElsewhere() const;
  void Refuse(routing::ReasonCode reason, std::string detail);
  void Finish(routing::RequestOutcome outcome);
  net::HttpResponse MakeResponse(const routing::RequestOutcome& outcome) const;
  void Record(const routing::RequestOutcome& outcome);
  void ReleaseSlot();
  void ReleaseAdmission();

  base::Duration TimeLeft() const;
  void Trace(std::string step, std::string reason, std::string target);

  Blackboard& blackboard_;
  CallerRequest request_;
  net::HttpResponder responder_;
  base::Instant arrived_;
  base::Instant deadline_;

  std::shared_ptr<routing::CustomerLoad> customer_;
  int customer_weight_ = 1;
  std::shared_ptr<routing::ServiceGate> gate_;
  bool counted_in_limit_ = false;
  std::optional<routing::ReservedUpstream> upstream_;

  std::optional<records::ClaimSession> claim_;
  // Set when the record is claimed or queried, so that "not-run" holds for
  // every send of the key and not only for this one.
  bool record_known_ = false;
  bool waited_ = false;
  // Copies sent to upstreams, and sends to peers whose answer was lost.
  int sends_ = 0;
  int peer_sends_ = 0;
  std::vector<std::string> avoided_;
  // The outcome of an earlier send, reported if no later send gives a better
  // one.
  std::optional<routing::RequestOutcome> earlier_outcome_;
  routing::RequestTrace trace_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_REQUEST_FLOW_H_
