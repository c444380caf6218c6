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

// The calls that gateways and schedulers pass on to the scheduler that leads.
// Each may be repeated without a second effect.

// Where a caller's request goes, and who sent it.
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

// The state of a job, or the pending jobs of a queue when the path ends with
// its prefix.
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

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(worker, clock_ms);
  }
};

struct WorkerLeftCall {
  base::WorkerId worker;
  // Empty when the worker did not say it.
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

// A scheduler asks for a place in the group.
struct JoinCall {
  base::HostId host;
  std::string address;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(host, address);
  }
};

// Asks whether a leader answers.
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
                          PingCall>;

enum class ReplyStatus : std::uint8_t {
  kDone,
  // No such job, or no such queue.
  kNoJob,
  kNoQueue,
  // The key belongs to no customer, or the call had none.
  kUnauthorized,
  // The job id is in use for another job.
  kConflict,
  // The call is wrong in itself.
  kInvalid,
  // Not accepted now; see `retry_after_ms`.
  kRefused,
  // No configuration was accepted yet.
  kNotConfigured,
  // This scheduler cannot tell; nothing took effect.
  kUnavailable,
  // It may take effect.
  kUnknown,
};

struct Reply {
  ReplyStatus status = ReplyStatus::kUnavailable;
  std::optional<JobState> state;
  std::optional<std::uint64_t> pending;
  std::uint32_t retry_after_ms = 0;
  // The configuration as it was put; otherwise a reason for people.
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(status, state, pending, retry_after_ms, text);
  }
};

// What a scheduler answers to any call.
struct Envelope {
  // Empty when the scheduler does not lead and passed nothing on.
  std::optional<Reply> reply;
  // Message addresses: the leader as far as it is known, and all members.
  std::string leader;
  std::vector<std::string> members;
  // The failure domain of the scheduler that answers.
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
