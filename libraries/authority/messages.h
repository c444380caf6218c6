#ifndef WIGEONSTAIR_LIBRARIES_AUTHORITY_MESSAGES_H_
#define WIGEONSTAIR_LIBRARIES_AUTHORITY_MESSAGES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/strong_id.h"
#include "net/message_channel.h"

namespace wigeonstair::authority {

// Datagrams between the control hosts of one domain. Message types 410 to 449
// are reserved for this library.
inline constexpr net::MessageType kLeaseRequestMessage = 410;
inline constexpr net::MessageType kLeaseReplyMessage = 411;
inline constexpr net::MessageType kLeaseReleaseMessage = 412;

inline constexpr std::size_t kMaximumMessageBytes = 1'200;
inline constexpr std::size_t kMaximumHostIdBytes = 255;
// Higher epochs are rejected, so that counting on from one cannot overflow.
inline constexpr std::int64_t kMaximumEpoch = std::int64_t{1} << 62;

enum class RequestPurpose : std::uint8_t {
  // Asks whether the receiver would vote for the sender; binds neither of them.
  kProbe,
  // Asks for a vote.
  kAcquire,
  // Asks the voters of a held lease to extend their votes.
  kRenew,
};

struct LeaseRequest {
  base::HostId sender;
  RequestPurpose purpose = RequestPurpose::kProbe;
  std::int64_t epoch = 0;
  // Identifies the request within one run of the sender's process.
  std::uint64_t round = 0;
  // The member list that the sender has applied.
  std::uint64_t list_version = 0;
  // No lease can be held any more under member lists up to this version.
  std::uint64_t retired_version = 0;

  auto operator<=>(const LeaseRequest&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(sender, purpose, epoch, round, list_version, retired_version);
  }
};

enum class LeaseAnswer : std::uint8_t {
  // The vote is given; for a probe, it would be given.
  kGranted,
  // The voter has voted for another host, or is acquiring the lease itself.
  kTaken,
  // The epoch is not higher than one that the voter or a worker has seen.
  kOldEpoch,
  // The voter has applied a newer member list.
  kOldList,
  // The voter has restarted and gives no votes until those from before the
  // restart have expired.
  kWaiting,
};

struct LeaseReply {
  base::HostId sender;
  RequestPurpose purpose = RequestPurpose::kProbe;
  LeaseAnswer answer = LeaseAnswer::kWaiting;
  // Copied from the request.
  std::int64_t epoch = 0;
  std::uint64_t round = 0;
  // The newest member list that the voter has applied or voted under.
  std::uint64_t list_version = 0;
  // The highest epoch that the voter has voted for or a worker has reported.
  std::int64_t seen_epoch = 0;
  // The holder that the voter has heard from; an empty id when there is none.
  base::HostId holder;
  std::int64_t holder_epoch = 0;

  auto operator<=>(const LeaseReply&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(sender, purpose, answer, epoch, round, list_version, seen_epoch,
            holder, holder_epoch);
  }
};

// The sender does not hold a lease of this epoch and never will again.
struct LeaseRelease {
  base::HostId sender;
  std::int64_t epoch = 0;

  auto operator<=>(const LeaseRelease&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(sender, epoch);
  }
};

using Message = std::variant<LeaseRequest, LeaseReply, LeaseRelease>;

net::MessageType TypeOf(const Message& message);
const base::HostId& SenderOf(const Message& message);
std::string EncodeMessage(const Message& message);
// Fails with kCorruptData on malformed or oversized bodies, on values out of
// range and on unknown message types.
base::Result<Message> DecodeMessage(net::MessageType type,
                                    std::string_view body);

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_LIBRARIES_AUTHORITY_MESSAGES_H_
