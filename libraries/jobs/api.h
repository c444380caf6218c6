#ifndef WIGEONSTAIR_LIBRARIES_JOBS_API_H_
#define WIGEONSTAIR_LIBRARIES_JOBS_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"
#include "jobs/command.h"

namespace wigeonstair::jobs {

// The calls that gateways and schedulers forward to the leading scheduler. All
// calls are idempotent.

// The address of a caller's request and the key that identifies the caller.
struct CallTarget {
  std::string host;
  std::string path;
  // Empty when the caller sent none.
  std::string key;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, path, key);
  }
};

struct SubmitCall {
  CallTarget target;
  JobSpec spec;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(target, spec);
  }
};

// Reads the state of a job, or the number of pending jobs of a queue when the
// path ends with the queue's prefix.
struct ReadCall {
  CallTarget target;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(target);
  }
};

struct CancelCall {
  CallTarget target;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(target);
  }
};

struct ReportWorkerCall {
  WorkerDescription worker;
  std::optional<std::uint64_t> clock_ms;
  // While the worker drains: it ends no earlier than after this time.
  std::optional<std::uint64_t> drain_remaining_ms;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(worker, clock_ms, drain_remaining_ms);
  }
};

struct WorkerLeftCall {
  base::WorkerId worker;
  // The incarnation that leaves; empty when the worker did not send it.
  std::optional<std::uint64_t> born;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(worker, born);
  }
};

struct PutConfigurationCall {
  PutConfiguration change;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(change);
  }
};

struct ReadConfigurationCall {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}  // NOLINT: cereal's name.
};

struct SetDomainServiceCall {
  SetDomainService change;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(change);
  }
};

// A scheduler asks to become a member of the replication group.
struct JoinCall {
  base::HostId host;
  std::string address;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, address);
  }
};

// A scheduler that shuts down asks for its vote to be given to another member.
// Answered once that is done, or when no member can take it.
struct LeaveCall {
  base::HostId host;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host);
  }
};

// Checks whether the called scheduler leads.
struct PingCall {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}  // NOLINT: cereal's name.
};

using Call = std::variant<SubmitCall,
                          ReadCall,
                          CancelCall,
                          ReportWorkerCall,
                          WorkerLeftCall,
                          PutConfigurationCall,
                          ReadConfigurationCall,
                          SetDomainServiceCall,
                          JoinCall,
                          PingCall,
                          LeaveCall>;

enum class ReplyStatus : std::uint8_t {
  kDone,
  // No such job, or no such queue.
  kNoJob,
  kNoQueue,
  // The key belongs to no customer, or the call had none.
  kUnauthorized,
  // The job id is in use for another job.
  kConflict,
  // The content of the call is invalid.
  kInvalid,
  // Rejected for lack of capacity; see `retry_after_ms`.
  kRefused,
  // No configuration was accepted yet.
  kNotConfigured,
  // No leader could process the call; it had no effect.
  kUnavailable,
  // The outcome is unknown: the call may have taken effect or may still do so.
  kUnknown,
};

struct Reply {
  ReplyStatus status = ReplyStatus::kUnavailable;
  std::optional<JobState> state;
  std::optional<std::uint64_t> pending;
  std::uint32_t retry_after_ms = 0;
  // The configuration document as it was put, or a human-readable reason.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, state, pending, retry_after_ms, text);
  }
};

// The response of a scheduler to any call.
struct Envelope {
  // Empty when the scheduler does not lead and did not forward the call.
  std::optional<Reply> reply;
  // Message addresses of the leader, if known, and of all members.
  std::string leader;
  std::vector<std::string> members;
  // The failure domain of the responding scheduler.
  base::DomainId domain;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(reply, leader, members, domain);
  }
};

std::string EncodeCall(const Call& call);
std::string EncodeEnvelope(const Envelope& envelope);
// Both fail with kCorruptData.
base::Result<Call> DecodeCall(std::string_view bytes);
base::Result<Envelope> DecodeEnvelope(std::string_view bytes);

// The message type of calls; see net::MessageType.
inline constexpr std::uint16_t kCallMessage = 600;

}  // namespace wigeonstair::jobs

#endif  // WIGEONSTAIR_LIBRARIES_JOBS_API_H_
