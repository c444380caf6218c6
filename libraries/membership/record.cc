#include "membership/record.h"

namespace wigeonstair::membership {

namespace {

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
// clang 14 does not deduce the arguments of an aggregate.
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

std::uint8_t KindOf(const Record& record) {
  return static_cast<std::uint8_t>(record.index());
}

constexpr std::uint8_t kMemberKind = 0;
constexpr std::uint8_t kStatusKind = 1;
constexpr std::uint8_t kUpstreamKind = 4;

static_assert(std::is_same_v<std::variant_alternative_t<kMemberKind, Record>,
                             MemberRecord> &&
              std::is_same_v<std::variant_alternative_t<kStatusKind, Record>,
                             StatusRecord> &&
              std::is_same_v<std::variant_alternative_t<kUpstreamKind, Record>,
                             UpstreamRecord>);

}  // namespace

std::string MemberId::ToString() const {
  return host.value() + (role == HostRole::kControl ? "/control" : "/entry");
}

RecordKey MemberKey(const MemberId& id) {
  return {.kind = kMemberKind, .text = id.ToString()};
}

RecordKey StatusKey(const MemberId& id) {
  return {.kind = kStatusKind, .text = id.ToString()};
}

RecordKey UpstreamKey(const base::UpstreamId& id) {
  return {.kind = kUpstreamKind, .text = id.value()};
}

RecordKey KeyOf(const Record& record) {
  return {.kind = KindOf(record),
          .text = std::visit(
              Overloaded{
                  [](const MemberRecord& r) { return r.id.ToString(); },
                  [](const StatusRecord& r) { return r.id.ToString(); },
                  [](const CapacityRecord& r) { return r.domain.value(); },
                  [](const ServicesRecord& r) { return r.domain.value(); },
                  [](const UpstreamRecord& r) { return r.id.value(); },
              },
              record)};
}

RecordVersion VersionOf(const Record& record) {
  return std::visit(
      Overloaded{
          [](const MemberRecord& r) {
            return RecordVersion(r.incarnation, 0,
                                 static_cast<std::uint8_t>(r.state), "");
          },
          [](const StatusRecord& r) {
            return RecordVersion(r.version, 0, 0, "");
          },
          [](const CapacityRecord& r) {
            return RecordVersion(r.epoch, r.version, 0, "");
          },
          [](const ServicesRecord& r) {
            return RecordVersion(r.version, 0, 0, r.publisher.ToString());
          },
          [](const UpstreamRecord& r) {
            return RecordVersion(r.incarnation, r.version,
                                 static_cast<std::uint8_t>(r.state),
                                 r.observer.ToString());
          },
      },
      record);
}

RecordScope ScopeOf(const Record& record) {
  return std::holds_alternative<UpstreamRecord>(record) ? RecordScope::kDomain
                                                        : RecordScope::kGlobal;
}

bool IsTombstone(const Record& record) {
  if (const auto* member = std::get_if<MemberRecord>(&record)) {
    return member->state == MemberState::kDead ||
           member->state == MemberState::kLeft;
  }
  const auto* upstream = std::get_if<UpstreamRecord>(&record);
  return upstream != nullptr && upstream->state == UpstreamState::kGone;
}

}  // namespace wigeonstair::membership
