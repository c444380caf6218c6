// The cases of the review. Each returns the exit status of its script.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_CASES_CASES_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_CASES_CASES_HPP_

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "../installation.hpp"
#include "../record.hpp"

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

inline void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

// The queue of the cases, with the first priority.
inline const Queue kUrgent{.name = "recon", .prefix = "/recon/", .priority = 0};

// Two tenants with a guarantee of 8 GPUs each, and workers of 8 GPUs.
inline InstallationOptions TwoTenants(int workers_in_zone) {
  return {.workers_in_zone = workers_in_zone,
          .queues = {kUrgent},
          .tenants = {{"exporter", 8}, {"florist", 8}}};
}

// A worker starts again under its id; its first status report goes to a frozen
// scheduler.
int ForgottenEnds(bool trouble);
// All schedulers lose power after a snapshot.
int PowerLoss(bool trouble);
// A scheduler is replaced as planned; 4.2 s later another one loses its disk.
int Replacement(bool trouble);
// A gang that lasts ends `done`.
int LastingGang(bool trouble);
// Urgent work beyond a tenant's guarantee occupies another tenant's.
int Guarantee(bool trouble);
// A scheduler loses its disk while the group forms.
int Formation(bool trouble);

// Plays a case of older_cases.cpp; empty if it has none of this name.
std::optional<int> PlayOlder(const std::string& name);

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_CASES_CASES_HPP_
