#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_CHOICE_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_CHOICE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/strong_id.h"
#include "cluster/cluster_state.h"

namespace wigeonstair::cluster {

// The state of a failure domain that an assignment is based on. The
// reachability comes from its placement authority, the rest from the replicated
// log.
struct DomainOffer {
  base::DomainId domain;
  DomainStatus status = DomainStatus::kOut;
  // kUnreachable when the domain's placement authority has not published for
  // longer than the time limit.
  enum class Reachability : std::uint8_t { kUnreachable, kReachable };
  Reachability reachability = Reachability::kUnreachable;
  int total_accelerators = 0;
  int free_accelerators = 0;
  int free_cores = 0;
  int waiting_jobs = 0;
  // Part of the customer's guarantee in this domain that its assigned jobs do
  // not use, in accelerators. Negative when they use more.
  int unclaimed_guarantee = 0;
  // Accelerators that the customer may still borrow over all domains; empty
  // means without limit.
  std::optional<int> borrowing_remaining;

  auto operator<=>(const DomainOffer&) const = default;
};

struct DomainRejection {
  base::DomainId domain;
  std::string why;

  auto operator<=>(const DomainRejection&) const = default;
};

// How well a domain fits a job, best first.
enum class DomainFit : std::uint8_t {
  kGuaranteed,    // The customer's unclaimed guarantee covers the job.
  kFreeCapacity,  // The total free capacity suffices.
  kQueue,         // The job has to wait there.
};

struct DomainChosen {
  base::DomainId domain;
  DomainFit fit = DomainFit::kQueue;
  std::string why;
  std::vector<DomainRejection> rejected;
};

// No domain can take the job now; it stays queued.
struct NoDomainNow {
  std::vector<DomainRejection> rejected;
};

// No domain can ever run the job.
struct NoDomainEver {
  std::string why;
};

using DomainChoice = std::variant<DomainChosen, NoDomainNow, NoDomainEver>;

// Chooses the failure domain of a queued job: first one whose unclaimed
// guarantee covers the job, then one with enough free capacity, then the one
// with the shortest queue relative to its size. A pure function.
DomainChoice ChooseDomain(const JobRecord& job,
                          const std::vector<DomainOffer>& offers);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_DOMAIN_CHOICE_H_
