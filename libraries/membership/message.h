#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_MESSAGE_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_MESSAGE_H_

#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "membership/record.h"
#include "net/message_channel.h"

namespace wigeonstair::membership {

inline constexpr net::MessageType kGossipMessageType = 400;
// TCP: asks for a full copy; the answer is an encoded FullCopy.
inline constexpr net::MessageType kJoinMessageType = 401;

enum class MessageKind : std::uint8_t {
  kProbe,
  kAck,
  // Asks the receiver to probe `target` and to pass the ack on.
  kProbeRequest,
  // Carries records only.
  kGossip,
  // Compares buckets of records after a digest differed.
  kBuckets,
  // Asks for, and brings, the records of buckets that differ.
  kRepair,
  // Heartbeats of upstreams that `sender` received but does not observe.
  kHeartbeats,
};

// What hosts compare to find out that their records differ.
struct Digest {
  std::uint32_t global = 0;
  std::uint32_t domain = 0;

  bool operator==(const Digest&) const = default;
};

// Groups the records of one scope by a hash of their key: with 400 upstreams,
// three records to a bucket, so that a repair carries few known records.
inline constexpr std::size_t kBuckets = 128;
using BucketSet = std::bitset<kBuckets>;

// One datagram.
struct Message {
  MessageKind kind = MessageKind::kGossip;
  MemberId sender;
  base::DomainId sender_domain;
  // kProbe, kAck, kProbeRequest.
  std::uint32_t sequence = 0;
  // kProbeRequest.
  MemberId target;
  // kProbe, kAck.
  Digest digest;
  // kBuckets, kRepair.
  RecordScope scope = RecordScope::kGlobal;
  // kBuckets: one hash per bucket. Two bytes suffice, because the digest tells
  // whether a difference remains.
  std::vector<std::uint16_t> bucket_hashes;
  // kRepair: the buckets of which the receiver returns its records.
  BucketSet wanted_buckets;
  // kHeartbeats: hashes of the upstream ids.
  std::vector<std::uint64_t> heartbeats;
  // Any kind but kHeartbeats.
  std::vector<Record> records;
};

struct JoinRequest {
  base::DomainId domain;
  // The joiner's own record, so that the others learn of it at once.
  MemberRecord self;
};

struct FullCopy {
  // Of the member that answers.
  base::DomainId domain;
  std::vector<Record> records;
};

std::string EncodeMessage(const Message& message);
base::Result<Message> DecodeMessage(std::string_view body);
// Bytes that the record takes in a message.
std::size_t EncodedSize(const Record& record);

std::string EncodeJoinRequest(const JoinRequest& request);
base::Result<JoinRequest> DecodeJoinRequest(std::string_view body);
std::string EncodeFullCopy(const FullCopy& copy);
base::Result<FullCopy> DecodeFullCopy(std::string_view body);

std::uint64_t UpstreamHash(const base::UpstreamId& id);

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_MESSAGE_H_
