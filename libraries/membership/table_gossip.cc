// The messages of Table: probes, acks, gossip and repair.

#include <algorithm>
#include <numeric>

#include "membership/table.h"
#include "net/datagram_socket.h"

namespace wigeonstair::membership {

namespace {

constexpr std::size_t kUdpAndIpBytes = 28;
constexpr std::size_t kEnvelopeBytes =
    net::kDatagramHeaderBytes + kUdpAndIpBytes;
// A helper passes an ack on if it arrives within this time.
constexpr base::Duration kRelayTime = std::chrono::seconds(1);
constexpr std::size_t kRelayLimit = 256;
constexpr std::size_t kHeartbeatsPerMessage = 100;
// Gossip with less room than this waits for the next interval.
constexpr double kSmallestGossipBytes = 200;
constexpr double kLowBudget = 0.2;
constexpr int kTransmissionsOnLowBudget = 3;

}  // namespace

void Table::Receive(const net::Address& sender,
                    std::string_view body,
                    base::Instant now) {
  ++counters_.datagrams_received;
  counters_.bytes_received += body.size() + kEnvelopeBytes;
  const auto outcome = base::Capture([&] { return DecodeMessage(body); });
  if (const auto* message = std::get_if<Message>(&outcome))
    Dispatch(sender, *message, now);
  else
    ++counters_.malformed;
}

void Table::Dispatch(const net::Address& sender,
                     const Message& message,
                     base::Instant now) {
  if (message.sender == self_.id)
    return;
  Merge(message.records, now);
  switch (message.kind) {
    case MessageKind::kProbe:
      AnswerProbe(sender, message, now);
      CompareDigest(sender, message, now);
      break;
    case MessageKind::kAck:
      HandleAck(message, now);
      CompareDigest(sender, message, now);
      break;
    case MessageKind::kProbeRequest:
      PassProbeOn(sender, message, now);
      break;
    case MessageKind::kGossip:
      break;
    case MessageKind::kBuckets:
      CompareBuckets(sender, message);
      break;
    case MessageKind::kRepair:
      AnswerRepair(sender, message);
      break;
    case MessageKind::kHeartbeats:
      for (const UpstreamRecord& record :
           upstreams_.Relayed(store_, message.heartbeats, now))
        Apply(record, now);
      break;
  }
}

void Table::AnswerProbe(const net::Address& sender,
                        const Message& message,
                        base::Instant now) {
  if (self_.state == MemberState::kLeft)
    return;
  Message ack = Make(MessageKind::kAck);
  ack.sequence = message.sequence;
  if (now < refuted_until_)
    ack.records.push_back(self_);
  const RecordScope scope = message.sender_domain == options_.domain
                                ? RecordScope::kDomain
                                : RecordScope::kGlobal;
  for (Record& record : store_.TakePending(scope, RoomFor(ack)))
    ack.records.push_back(std::move(record));
  Send(sender, ack, Budget::kAlways);
}

void Table::HandleAck(const Message& message, base::Instant now) {
  const auto relay = relays_.find(message.sequence);
  if (relay == relays_.end()) {
    scheduler_.Acknowledge(message.sequence);
    return;
  }
  if (relay->second.expires >= now) {
    Message ack = Make(MessageKind::kAck);
    ack.sequence = relay->second.sequence;
    // The target's record may refute the suspicion of the origin.
    if (const MemberRecord* target = FindMember(message.sender))
      ack.records.push_back(*target);
    Send(relay->second.origin, ack, Budget::kAlways);
  }
  relays_.erase(relay);
}

void Table::PassProbeOn(const net::Address& sender,
                        const Message& message,
                        base::Instant now) {
  const MemberRecord* target = FindMember(message.target);
  if (target == nullptr || relays_.size() >= kRelayLimit)
    return;
  const std::uint32_t sequence = scheduler_.NextSequence();
  relays_[sequence] = {.origin = sender,
                       .sequence = message.sequence,
                       .expires = now + kRelayTime};
  SendProbeTo(*target, sequence);
}

void Table::CompareDigest(const net::Address& sender,
                          const Message& message,
                          base::Instant now) {
  if (now < next_repair_)
    return;
  const Digest mine = MakeDigest();
  const bool same_domain = message.sender_domain == options_.domain;
  Message buckets = Make(MessageKind::kBuckets);
  if (same_domain && message.digest.domain != mine.domain)
    buckets.scope = RecordScope::kDomain;
  else if (message.digest.global != mine.global)
    buckets.scope = RecordScope::kGlobal;
  else
    return;
  if (store_.HasPending(buckets.scope) && now < next_busy_repair_)
    return;
  const RecordStore::Hashes& hashes = store_.BucketHashes(buckets.scope);
  for (const std::uint32_t hash : hashes)
    buckets.bucket_hashes.push_back(static_cast<std::uint16_t>(hash));
  next_repair_ = now + options_.settings.repair_interval;
  next_busy_repair_ = now + options_.settings.busy_repair_interval;
  ++counters_.repairs;
  Send(sender, buckets, Budget::kWhenAffordable);
}

void Table::CompareBuckets(const net::Address& sender, const Message& message) {
  if (message.bucket_hashes.size() != kBuckets)
    return;
  const RecordStore::Hashes& mine = store_.BucketHashes(message.scope);
  Message repair = Make(MessageKind::kRepair);
  repair.scope = message.scope;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    repair.wanted_buckets[i] =
        static_cast<std::uint16_t>(mine[i]) != message.bucket_hashes[i];
  }
  if (repair.wanted_buckets.none())
    return;
  // A random start lets repeated repairs get past the first datagram.
  repair.records = store_.Bucket(message.scope, repair.wanted_buckets,
                                 RoomFor(repair), random_.Next() >> 32);
  Send(sender, repair, Budget::kWhenAffordable);
}

void Table::AnswerRepair(const net::Address& sender, const Message& message) {
  if (message.wanted_buckets.none())
    return;
  Message repair = Make(MessageKind::kRepair);
  repair.scope = message.scope;
  repair.records = store_.Bucket(message.scope, message.wanted_buckets,
                                 RoomFor(repair), random_.Next() >> 32);
  Send(sender, repair, Budget::kWhenAffordable);
}

void Table::RunProbes(base::Instant now) {
  const ProbeScheduler::Output output = scheduler_.Tick(now, random_);
  counters_.suspicions += output.suspects.size();
  for (const MemberId& id : output.suspects)
    Claim(id, MemberState::kSuspect, now);
  for (const MemberId& id : output.deaths)
    Claim(id, MemberState::kDead, now);
  for (const ProbeScheduler::Probe& probe : output.probes)
    SendProbe(probe);
}

void Table::SendProbe(const ProbeScheduler::Probe& probe) {
  const MemberRecord* target = FindMember(probe.target);
  if (target == nullptr)
    return;
  if (!probe.helper) {
    SendProbeTo(*target, probe.sequence);
    return;
  }
  const MemberRecord* helper = FindMember(*probe.helper);
  if (helper == nullptr)
    return;
  Message request = Make(MessageKind::kProbeRequest);
  request.sequence = probe.sequence;
  request.target = probe.target;
  if (target->state != MemberState::kAlive)
    request.records.push_back(*target);
  Send(helper->messages, request, Budget::kAlways);
}

void Table::SendProbeTo(const MemberRecord& target, std::uint32_t sequence) {
  Message probe = Make(MessageKind::kProbe);
  probe.sequence = sequence;
  // Lets the target refute the claim.
  if (target.state != MemberState::kAlive)
    probe.records.push_back(target);
  const RecordScope scope = target.domain == options_.domain
                                ? RecordScope::kDomain
                                : RecordScope::kGlobal;
  for (Record& record : store_.TakePending(scope, RoomFor(probe)))
    probe.records.push_back(std::move(record));
  Send(target.messages, probe, Budget::kAlways);
}

void Table::Mix() {
  mix_in_domain_ = !mix_in_domain_;
  const MemberRecord* target = RandomMember(mix_in_domain_);
  if (target != nullptr)
    SendProbeTo(*target, scheduler_.NextSequence());
}

void Table::Revive() {
  if (dead_members_.empty())
    return;
  const MemberRecord* target =
      FindMember(dead_members_[random_.Below(dead_members_.size())]);
  if (target != nullptr)
    SendProbeTo(*target, scheduler_.NextSequence());
}

void Table::Gossip() {
  // The last copies of a record rarely reach a host that lacks it; when the
  // budget is short, repair uses it better.
  if (tokens_ < options_.settings.burst_bytes * kLowBudget)
    store_.TrimPending(kTransmissionsOnLowBudget);
  for (int i = 0; i < options_.settings.gossip_fanout; ++i) {
    const bool domain = store_.HasPending(RecordScope::kDomain);
    const bool global = store_.HasPending(RecordScope::kGlobal);
    if ((!domain && !global) || tokens_ < kSmallestGossipBytes)
      return;
    const bool own_domain = domain && (!global || random_.Below(2) == 0);
    const MemberRecord* target = RandomMember(own_domain);
    if (target == nullptr)
      continue;
    Message gossip = Make(MessageKind::kGossip);
    gossip.records = store_.TakePending(target->domain == options_.domain
                                            ? RecordScope::kDomain
                                            : RecordScope::kGlobal,
                                        RoomFor(gossip));
    if (!gossip.records.empty())
      Send(target->messages, gossip, Budget::kWhenAffordable);
  }
}

void Table::SendRelays() {
  for (const auto& [observer, hashes] : upstreams_.TakeRelays()) {
    const MemberRecord* target = FindMember(observer);
    if (target == nullptr)
      continue;
    std::vector<std::uint64_t> rest(hashes.begin(), hashes.end());
    while (!rest.empty()) {
      Message message = Make(MessageKind::kHeartbeats);
      const std::size_t size = std::min(rest.size(), kHeartbeatsPerMessage);
      message.heartbeats.assign(rest.end() - static_cast<std::ptrdiff_t>(size),
                                rest.end());
      rest.resize(rest.size() - size);
      // Without them the observer would suspect live upstreams.
      Send(target->messages, message, Budget::kAlways);
    }
  }
}

std::size_t Table::RoomFor(const Message& message) const {
  const std::size_t size = EncodeMessage(message).size();
  const double affordable =
      tokens_ - static_cast<double>(size + kEnvelopeBytes);
  if (size >= net::kMaximumDatagramBodyBytes || affordable <= 0)
    return 0;
  return std::min(net::kMaximumDatagramBodyBytes - size,
                  static_cast<std::size_t>(affordable));
}

void Table::Send(const net::Address& peer,
                 const Message& message,
                 Budget budget) {
  std::string body = EncodeMessage(message);
  const std::size_t size = body.size() + kEnvelopeBytes;
  if (budget == Budget::kWhenAffordable && tokens_ < static_cast<double>(size))
    return;
  tokens_ -= static_cast<double>(size);
  ++counters_.datagrams_sent;
  counters_.bytes_sent += size;
  outgoing_.push_back({.peer = peer, .body = std::move(body)});
}

Message Table::Make(MessageKind kind) const {
  Message message{
      .kind = kind, .sender = self_.id, .sender_domain = options_.domain};
  if (kind == MessageKind::kProbe || kind == MessageKind::kAck)
    message.digest = MakeDigest();
  return message;
}

Digest Table::MakeDigest() const {
  return {.global = store_.DigestOf(RecordScope::kGlobal),
          .domain = store_.DigestOf(RecordScope::kDomain)};
}

bool Table::Due(base::Instant& next,
                base::Duration interval,
                base::Instant now) {
  if (next == base::Instant{}) {
    // Spreads the work of hosts that start together.
    next = now + base::Duration(random_.Below(interval.count()));
  }
  if (now < next)
    return false;
  next = std::max(next + interval, now);
  return true;
}

const MemberRecord* Table::FindMember(const MemberId& id) const {
  return store_.FindAs<MemberRecord>(MemberKey(id));
}

const MemberRecord* Table::RandomMember(bool own_domain) {
  const auto& candidates = own_domain ? domain_members_ : members_;
  if (candidates.empty())
    return nullptr;
  return FindMember(candidates[random_.Below(candidates.size())]);
}

}  // namespace wigeonstair::membership
