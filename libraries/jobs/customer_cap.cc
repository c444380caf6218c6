#include "jobs/customer_cap.h"

#include <algorithm>
#include <limits>

namespace wigeonstair::jobs {

namespace {

struct Dimension {
  std::uint64_t Resources::*amount;
  const char* name;
};

constexpr Dimension kDimensions[] = {
    {&Resources::cpu, "millicores"},
    {&Resources::memory_mb, "MB of memory"},
    {&Resources::accelerators, "accelerators"}};

// Below this share of its cap, a customer's steps do not wait for one another:
// work must go on while a customer has less than half of its cap, and runs that
// are in doubt count in its account.
constexpr double kHeldShare = 0.65;

// Whether a task, or the whole gang, fits when nothing else of the customer
// runs.
bool FitsAlone(const Resources& cap, const StepSpec& step) {
  return TasksWithinCap(cap, {},
                        {.task = step.task,
                         .count = step.gang ? step.count : 1,
                         .gang = step.gang}) > 0;
}

// Returns how many times `part` fits into `whole`.
std::uint32_t CountWithin(std::uint64_t whole, std::uint64_t part) {
  constexpr std::uint32_t kMost = std::numeric_limits<std::uint32_t>::max();
  return part == 0 ? kMost
                   : static_cast<std::uint32_t>(
                         std::min<std::uint64_t>(whole / part, kMost));
}

}  // namespace

bool ExceedsCap(const Resources& cap, const Resources& in_use) {
  return std::any_of(std::begin(kDimensions), std::end(kDimensions),
                     [&](const Dimension& dimension) {
                       const std::uint64_t limit = cap.*dimension.amount;
                       return limit != 0 && in_use.*dimension.amount > limit;
                     });
}

std::uint32_t TasksWithinCap(const Resources& cap,
                             const Resources& in_use,
                             const CapRequest& request) {
  if (ExceedsCap(cap, in_use))
    return 0;
  std::uint32_t count = request.count;
  for (const Dimension& dimension : kDimensions) {
    const std::uint64_t limit = cap.*dimension.amount;
    if (limit == 0)
      continue;
    count = std::min(count, CountWithin(limit - in_use.*dimension.amount,
                                        request.task.*dimension.amount));
  }
  return request.gang && count < request.count ? 0 : count;
}

std::optional<std::string> FindCapFault(const Resources& cap,
                                        const JobSpec& spec) {
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const std::uint64_t together =
        step.gang ? std::max<std::uint64_t>(step.count, 1) : 1;
    for (const Dimension& dimension : kDimensions) {
      const std::uint64_t limit = cap.*dimension.amount;
      const std::uint64_t needed = step.task.*dimension.amount;
      if (limit == 0 || needed <= limit / together)
        continue;
      return std::string(step.gang ? "the gang" : "a task") + " of step " +
             std::to_string(i) + " needs " + std::to_string(needed * together) +
             " " + dimension.name + ", and the cap of the customer is " +
             std::to_string(limit);
    }
  }
  return std::nullopt;
}

void CustomerCaps::Sync(const Configuration& configuration) {
  if (configuration.version == version_)
    return;
  version_ = configuration.version;
  caps_.clear();
  for (const Customer& customer : configuration.customers) {
    if (customer.cap != Resources{})
      caps_.emplace(customer.id, customer.cap);
  }
}

const Resources* CustomerCaps::Find(const base::CustomerId& customer) const {
  const auto found = caps_.find(customer);
  return found == caps_.end() ? nullptr : &found->second;
}

bool CustomerCaps::IsExceeded(const base::CustomerId& customer,
                              const CustomerAccounts& accounts) const {
  const Resources* cap = Find(customer);
  return cap != nullptr && ExceedsCap(*cap, accounts.InUse(customer));
}

bool CustomerCaps::ShouldHoldRoom(const base::CustomerId& customer,
                                  const StepSpec& step,
                                  const CustomerAccounts& accounts) const {
  const Resources* cap = Find(customer);
  if (cap == nullptr || !FitsAlone(*cap, step))
    return false;
  const Resources in_use = accounts.InUse(customer);
  return std::any_of(
      std::begin(kDimensions), std::end(kDimensions),
      [&](const Dimension& dimension) {
        const auto limit = static_cast<double>(cap->*dimension.amount);
        return limit > 0 && static_cast<double>(in_use.*dimension.amount) >=
                                kHeldShare * limit;
      });
}

std::string_view CustomerCaps::WaitReason(const base::CustomerId& customer,
                                          const StepSpec& step) const {
  const Resources* cap = Find(customer);
  const bool fits = cap == nullptr || FitsAlone(*cap, step);
  return fits ? "customer_cap" : "larger_than_customer_cap";
}

}  // namespace wigeonstair::jobs
