#include "membership/message.h"

#include <xxhash.h>

#include <limits>

#include "net/codec.h"

namespace wigeonstair::membership {

namespace {

// cereal writes 8 bytes for each length; these fields take 1 or 4, because a
// probe is sent several times a second.
template <typename Archive, typename Number>
requires std::is_arithmetic_v<Number>
void Field(Archive& archive, Number& number) {
  archive(number);
}

template <typename Archive>
void Field(Archive& archive, std::string& text) {
  auto size = static_cast<std::uint8_t>(text.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > kMaximumNameBytes)
      throw cereal::Exception("a name is too long");
    text.resize(size);
  }
  archive(cereal::binary_data(text.data(), size));
}

template <typename Archive, typename Tag>
void Field(Archive& archive, base::StrongId<Tag>& id) {
  std::string text = id.value();
  Field(archive, text);
  if constexpr (Archive::is_loading::value)
    id = base::StrongId<Tag>(std::move(text));
}

template <auto kLast, typename Archive>
void EnumField(Archive& archive, decltype(kLast)& value) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(kLast))
    throw cereal::Exception("an enumerator is out of range");
  value = static_cast<decltype(kLast)>(number);
}

template <typename Archive>
void Field(Archive& archive, net::Address& address) {
  Field(archive, address.ip);
  Field(archive, address.port);
}

template <typename Archive>
void Field(Archive& archive, MemberId& id) {
  Field(archive, id.host);
  EnumField<HostRole::kEntry>(archive, id.role);
}

template <typename Archive>
void Field(Archive& archive, MemberRecord& record) {
  Field(archive, record.id);
  Field(archive, record.domain);
  Field(archive, record.messages);
  Field(archive, record.http);
  Field(archive, record.incarnation);
  EnumField<MemberState::kLeft>(archive, record.state);
}

template <typename Archive>
void Field(Archive& archive, StatusRecord& record) {
  Field(archive, record.id);
  Field(archive, record.version);
  Field(archive, record.applied_revision);
  Field(archive, record.authority_epoch);
  EnumField<AuthorityHolding::kHeld>(archive, record.holding);
}

template <typename Archive>
void Field(Archive& archive, CapacityRecord& record) {
  Field(archive, record.domain);
  Field(archive, record.epoch);
  Field(archive, record.version);
  Field(archive, record.capacity.accelerators);
  Field(archive, record.capacity.whole_workers);
  Field(archive, record.capacity.whole_racks);
  Field(archive, record.capacity.cores);
  Field(archive, record.capacity.memory_megabytes);
}

template <typename Archive>
void Field(Archive& archive, ServiceSummary& summary) {
  Field(archive, summary.service);
  Field(archive, summary.upstreams);
  Field(archive, summary.slots);
  Field(archive, summary.connections);
}

template <typename Archive>
void Field(Archive& archive, Record& record);

template <typename Size, typename Archive, typename Element>
void ListField(Archive& archive, std::vector<Element>& elements) {
  auto size = static_cast<Size>(elements.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    for (Size i = 0; i < size; ++i)
      Field(archive, elements.emplace_back());
  } else {
    for (Element& element : elements)
      Field(archive, element);
  }
}

template <typename Archive>
void Field(Archive& archive, ServicesRecord& record) {
  Field(archive, record.domain);
  Field(archive, record.version);
  Field(archive, record.publisher);
  ListField<std::uint8_t>(archive, record.services);
}

template <typename Archive>
void Field(Archive& archive, UpstreamRecord& record) {
  Field(archive, record.id);
  Field(archive, record.service);
  Field(archive, record.domain);
  Field(archive, record.address);
  Field(archive, record.slots);
  Field(archive, record.connections);
  Field(archive, record.incarnation);
  Field(archive, record.version);
  Field(archive, record.observer);
  EnumField<UpstreamState::kGone>(archive, record.state);
  Field(archive, record.heartbeat_age_milliseconds);
}

template <std::size_t kIndex = 0>
Record EmptyRecord(std::size_t index) {
  if constexpr (kIndex < std::variant_size_v<Record>) {
    if (index == kIndex)
      return Record(std::in_place_index<kIndex>);
    return EmptyRecord<kIndex + 1>(index);
  } else {
    throw cereal::Exception("a record is of an unknown kind");
  }
}

template <typename Archive>
void Field(Archive& archive, Record& record) {
  auto kind = static_cast<std::uint8_t>(record.index());
  archive(kind);
  if constexpr (Archive::is_loading::value)
    record = EmptyRecord(kind);
  std::visit([&](auto& alternative) { Field(archive, alternative); }, record);
}

bool HasSequence(MessageKind kind) {
  return kind == MessageKind::kProbe || kind == MessageKind::kAck ||
         kind == MessageKind::kProbeRequest;
}

template <typename Archive>
void Field(Archive& archive, BucketSet& buckets) {
  constexpr std::size_t kBitsPerWord = 64;
  for (std::size_t first = 0; first < kBuckets; first += kBitsPerWord) {
    std::uint64_t word = 0;
    for (std::size_t i = 0; i < kBitsPerWord; ++i)
      word |= std::uint64_t{buckets[first + i]} << i;
    archive(word);
    for (std::size_t i = 0; i < kBitsPerWord; ++i)
      buckets[first + i] = (word >> i & 1) != 0;
  }
}

template <typename Archive>
void Field(Archive& archive, Message& message) {
  EnumField<MessageKind::kHeartbeats>(archive, message.kind);
  Field(archive, message.sender);
  Field(archive, message.sender_domain);
  const MessageKind kind = message.kind;
  if (HasSequence(kind))
    Field(archive, message.sequence);
  if (kind == MessageKind::kProbeRequest)
    Field(archive, message.target);
  if (kind == MessageKind::kProbe || kind == MessageKind::kAck) {
    Field(archive, message.digest.global);
    Field(archive, message.digest.domain);
  }
  if (kind == MessageKind::kBuckets || kind == MessageKind::kRepair)
    EnumField<RecordScope::kDomain>(archive, message.scope);
  if (kind == MessageKind::kBuckets)
    ListField<std::uint8_t>(archive, message.bucket_hashes);
  if (kind == MessageKind::kRepair)
    Field(archive, message.wanted_buckets);
  if (kind == MessageKind::kHeartbeats)
    ListField<std::uint8_t>(archive, message.heartbeats);
  else
    ListField<std::uint8_t>(archive, message.records);
}

template <typename Archive>
void Field(Archive& archive, JoinRequest& request) {
  Field(archive, request.domain);
  Field(archive, request.self);
}

template <typename Archive>
void Field(Archive& archive, FullCopy& copy) {
  Field(archive, copy.domain);
  ListField<std::uint32_t>(archive, copy.records);
}

// Gives cereal one entry point for the types above.
template <typename T>
struct Envelope {
  T value;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    Field(archive, value);
  }
};

template <typename T>
base::Result<T> DecodeEnvelope(std::string_view body) {
  auto envelope = TRY(net::Decode<Envelope<T>>(body));
  return std::move(envelope.value);
}

template <typename T>
std::string EncodeEnvelope(const T& value) {
  return net::Encode(Envelope<T>{value});
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  return EncodeEnvelope(message);
}

base::Result<Message> DecodeMessage(std::string_view body) {
  return DecodeEnvelope<Message>(body);
}

std::size_t EncodedSize(const Record& record) {
  // Without the byte for the byte order, which the message has once.
  return EncodeEnvelope(record).size() - 1;
}

std::string EncodeJoinRequest(const JoinRequest& request) {
  return EncodeEnvelope(request);
}

base::Result<JoinRequest> DecodeJoinRequest(std::string_view body) {
  return DecodeEnvelope<JoinRequest>(body);
}

std::string EncodeFullCopy(const FullCopy& copy) {
  return EncodeEnvelope(copy);
}

base::Result<FullCopy> DecodeFullCopy(std::string_view body) {
  return DecodeEnvelope<FullCopy>(body);
}

std::uint64_t UpstreamHash(const base::UpstreamId& id) {
  return XXH3_64bits(id.value().data(), id.value().size());
}

}  // namespace wigeonstair::membership
