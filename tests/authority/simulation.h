#ifndef WIGEONSTAIR_TESTS_AUTHORITY_SIMULATION_H_
#define WIGEONSTAIR_TESTS_AUTHORITY_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "authority/election.h"
#include "authority/start_gate.h"
#include "authority/take_out_tracker.h"
#include "base/random.h"

namespace wigeonstair::authority {

// A property of the authority that a run broke.
enum class Violation : std::uint8_t {
  // Two hosts hold the lease at the same time.
  kTwoHolders,
  // A host acquired the lease with an epoch that is not above all former ones.
  kEpochNotHigher,
  // A host may start a task while the take-out is reported as in force.
  kStartAfterTakeOut,
};

struct SimulationOptions {
  std::uint64_t seed = 0;
  int hosts = 3;
  PlantedFault fault = PlantedFault::kNone;
  std::optional<std::int64_t> autonomy_seconds;
};

// Simulates the control hosts of one domain, their network, the cluster log,
// and an observer at the log that decides whether a take-out is in force.
// Logical time advances in steps of 10 ms.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options);

  void RunFor(base::Duration duration);
  // Runs with random faults of every kind.
  void RunWithFaults(base::Duration duration);
  // Ends all faults. The state of the hosts and delayed messages stay.
  void Heal();

  // Drops all later messages from one host to another.
  void Cut(int from, int to) { cut_[Link(from, to)] = true; }
  // Cuts the host off from the cluster log in both directions.
  void CutFromLog(int host) { log_cut_.insert(host); }
  // Pauses the process of the host; messages to it arrive when it resumes.
  void Freeze(int host, base::Duration duration);
  void Restart(int host);
  // Appends a member list to the log, with `host` added or removed.
  void ToggleMember(int host);
  // Appends the take-out of the domain to the log.
  void TakeOut();

  // The hosts that hold the lease now.
  std::vector<int> Holders() const;
  bool Has(Violation violation) const {
    return violations_.contains(violation);
  }
  // Whether the observer reports the take-out as in force.
  bool InForce() const;
  // How often a host acquired or lost the lease.
  int changes() const { return changes_; }
  std::int64_t last_epoch() const { return last_epoch_; }

 private:
  struct Host {
    std::unique_ptr<Election> election;
    // Rate of its clock, in thousandths of the rate of true time.
    std::int64_t clock_rate = 1000;
    base::Instant frozen_until{};
    base::Instant next_tick{};
    std::size_t applied_lists = 0;
    bool domain_in = true;
    base::Instant last_contact{};
    // The state of the host as the observer knows it.
    ProcessObservation observation;
  };
  struct InFlightMessage {
    base::Instant due;
    int from = 0;
    int to = 0;
    Message message;
  };

  std::size_t Link(int from, int to) const {
    return static_cast<std::size_t>(from * options_.hosts + to);
  }
  // The time on the clock of `host`.
  base::Instant Local(const Host& host) const;
  Host& At(int host) { return hosts_[static_cast<std::size_t>(host)]; }
  const Host& At(int host) const {
    return hosts_[static_cast<std::size_t>(host)];
  }
  void Advance();
  void AddFault();
  void Deliver();
  void ReadLog(int host);
  void Step(int host, const ElectionEvent& event);
  void Send(int from, const OutgoingMessage& outgoing);
  void Check();
  bool MayStart(int host) const;

  SimulationOptions options_;
  base::Random random_;
  base::Instant now_{};
  std::vector<Host> hosts_;
  std::vector<bool> cut_;
  std::set<int> log_cut_;
  int loss_percent_ = 0;
  std::vector<InFlightMessage> in_flight_;
  std::vector<MemberList> log_;
  // The version of the member list with which the log took the domain out.
  std::optional<std::size_t> take_out_version_;
  base::Instant take_out_time_{};
  // The highest epoch acquired.
  std::int64_t last_epoch_ = 0;
  int changes_ = 0;
  std::set<Violation> violations_;
};

}  // namespace wigeonstair::authority

#endif  // WIGEONSTAIR_TESTS_AUTHORITY_SIMULATION_H_
