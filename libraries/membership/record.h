#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/strong_id.h"
#include "net/address.h"

namespace wigeonstair::membership {

enum class HostRole : std::uint8_t { kControl, kEntry };

// One process of the system: a host may run one of each role.
struct MemberId {
  base::HostId host;
  HostRole role = HostRole::kControl;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const MemberId&) const = default;

  // "host/control" or "host/entry".
  std::string ToString() const;
};

// In the order in which one claim about an incarnation overrides another.
enum class MemberState : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

enum class UpstreamState : std::uint8_t { kAlive, kSuspect, kLeaving, kGone };

enum class AuthorityHolding : std::uint8_t { kNotHeld, kHeld };

// Where a member is reached, and whether it is alive.
struct MemberRecord {
  MemberId id;
  base::DomainId domain;
  // TCP and UDP.
  net::Address messages;
  net::Address http;
  // Raised by the member itself at each start and to refute a claim that it is
  // not alive.
  std::uint64_t incarnation = 0;
  MemberState state = MemberState::kAlive;

  bool operator==(const MemberRecord&) const = default;
};

// What a member reports about itself; it changes more often than the above.
struct StatusRecord {
  MemberId id;
  std::uint64_t version = 0;
  std::uint64_t applied_revision = 0;
  std::uint64_t authority_epoch = 0;
  AuthorityHolding holding = AuthorityHolding::kNotHeld;

  bool operator==(const StatusRecord&) const = default;
};

// Free capacity of a domain as its authority sees it.
struct CapacitySummary {
  std::uint32_t accelerators = 0;
  // Workers and racks on which no accelerator is in use.
  std::uint32_t whole_workers = 0;
  std::uint32_t whole_racks = 0;
  std::uint32_t cores = 0;
  std::uint64_t memory_megabytes = 0;

  bool operator==(const CapacitySummary&) const = default;
};

struct CapacityRecord {
  base::DomainId domain;
  // Epoch of the authority that published it.
  std::uint64_t epoch = 0;
  std::uint64_t version = 0;
  CapacitySummary capacity;

  bool operator==(const CapacityRecord&) const = default;
};

// The live upstreams of one service in a domain, for the other domains.
struct ServiceSummary {
  std::string service;
  std::uint32_t upstreams = 0;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;

  bool operator==(const ServiceSummary&) const = default;
};

struct ServicesRecord {
  base::DomainId domain;
  std::uint64_t version = 0;
  MemberId publisher;
  std::vector<ServiceSummary> services;

  bool operator==(const ServicesRecord&) const = default;
};

// An upstream's announcement, spread within its domain.
struct UpstreamRecord {
  base::UpstreamId id;
  std::string service;
  base::DomainId domain;
  net::Address address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  // Raised by the upstream at each start.
  std::uint64_t incarnation = 0;
  // Raised by the host that publishes a change.
  std::uint64_t version = 0;
  // The member that watches the heartbeats.
  MemberId observer;
  UpstreamState state = UpstreamState::kAlive;
  // Age of the last heartbeat when this version was published.
  std::uint32_t heartbeat_age_milliseconds = 0;

  bool operator==(const UpstreamRecord&) const = default;
};

using Record = std::variant<MemberRecord,
                            StatusRecord,
                            CapacityRecord,
                            ServicesRecord,
                            UpstreamRecord>;

struct RecordKey {
  std::uint8_t kind = 0;
  std::string text;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const RecordKey&) const = default;
};

// Of two records with one key, the one with the larger version is kept, so that
// hosts agree whatever the order in which records arrive.
using RecordVersion =
    std::tuple<std::uint64_t, std::uint64_t, std::uint8_t, std::string>;

// kDomain records stay within the domain that they concern.
enum class RecordScope : std::uint8_t { kGlobal, kDomain };

RecordKey KeyOf(const Record& record);
RecordKey MemberKey(const MemberId& id);
RecordKey StatusKey(const MemberId& id);
RecordKey UpstreamKey(const base::UpstreamId& id);
RecordVersion VersionOf(const Record& record);
RecordScope ScopeOf(const Record& record);
// A dead or left member or a gone upstream: kept for a while, so that an older
// copy does not bring it back.
bool IsTombstone(const Record& record);

// Ids and names longer than this are refused, so that each record fits into a
// datagram.
inline constexpr std::size_t kMaximumNameBytes = 64;
// Services above this number are left out of a domain's summary.
inline constexpr std::size_t kMaximumSummaryServices = 10;

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_RECORD_H_
