#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/strong_id.h"

namespace wigeonstair::cluster {

// A level of the hardware topology within which accelerators are adjacent.
enum class CellLevel : std::uint8_t { kAccelerator, kWorker, kRack, kDomain };

// A set of accelerators that one gang uses together.
struct CellShape {
  // The smallest level that must contain all accelerators of the cell.
  CellLevel level = CellLevel::kWorker;
  // Number of accelerators, at least 1. A cell of level kRack or kDomain that
  // is larger than a worker consists of whole workers.
  int accelerators = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CellShape&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(level, accelerators);
  }
};

// `count` cells of one shape that a customer can claim in a failure domain at
// any time.
struct Guarantee {
  base::DomainId domain;
  CellShape shape;
  int count = 1;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const Guarantee&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(domain, shape, count);
  }
};

struct CustomerConfiguration {
  base::CustomerId id;
  std::string name;
  // 0 to 100. Among customers that borrow, the highest goes first.
  int priority = 50;
  std::vector<Guarantee> guarantees;
  // Accelerators that the customer may use beyond its guarantees, over all
  // failure domains. Empty means no limit.
  std::optional<int> borrowing_limit;
  // Weight of the customer's requests when an entry host is saturated.
  int request_weight = 1;
  // Requests in progress on one entry host.
  int maximum_concurrent_requests = 256;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const CustomerConfiguration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, name, priority, guarantees, borrowing_limit, request_weight,
            maximum_concurrent_requests);
  }
};

// A rack of equal workers.
struct RackConfiguration {
  base::RackId id;
  int workers = 0;
  int cores_per_worker = 0;
  int memory_megabytes_per_worker = 0;
  int accelerators_per_worker = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const RackConfiguration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, workers, cores_per_worker, memory_megabytes_per_worker,
            accelerators_per_worker);
  }
};

struct DomainConfiguration {
  base::DomainId id;
  std::string region;
  std::vector<RackConfiguration> racks;
  // How long a partitioned domain may go on starting tasks. Empty means without
  // limit; taking the domain out then stays pending while it is partitioned.
  std::optional<std::int64_t> autonomy_seconds;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const DomainConfiguration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, region, racks, autonomy_seconds);
  }
};

enum class HostStorage : std::uint8_t { kNone, kDisk };

// A host that runs the control and entry processes. Addresses are "ip:port".
struct HostConfiguration {
  base::HostId id;
  base::DomainId domain;
  // Hosts with a disk can vote in the replicated groups.
  HostStorage storage = HostStorage::kNone;
  std::string control_http;
  // TCP and UDP use the same port number.
  std::string control_messages;
  std::string entry_http;
  std::string entry_messages;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const HostConfiguration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(id, domain, storage, control_http, control_messages, entry_http,
            entry_messages);
  }
};

// The configuration that operators apply as one unit, with one revision.
struct ClusterConfiguration {
  std::string cluster;
  std::vector<DomainConfiguration> domains;
  std::vector<CustomerConfiguration> customers;
  std::vector<HostConfiguration> hosts;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const ClusterConfiguration&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(cluster, domains, customers, hosts);
  }
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_CONFIGURATION_H_
