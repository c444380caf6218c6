#ifndef WIGEONSTAIR_TESTS_CONSENSUS_SIMULATION_H_
#define WIGEONSTAIR_TESTS_CONSENSUS_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "consensus/log_storage.h"
#include "consensus/replica_driver.h"
#include "tests/consensus/fake_disk.h"
#include "tests/consensus/register_machine.h"

namespace wigeonstair::consensus {

enum class Violation {
  kCommittedEntryChanged,
  kTwoLeadersInTerm,
  kStatesDiffer,
  kNotLinearizable,
  kAnswerLost,
  kTermRaised,
  kNoProgress,
  kFolderRefused,
  // A restarted replica is behind the state that it had applied.
  kStateReverted,
};

struct SimulationOptions {
  std::uint64_t seed = 0;
  int voters = 3;
  int learners = 0;
  // Percentages of all messages.
  int lost = 3;
  int duplicated = 3;
  int late = 2;
  CommitRecord commit_record = CommitRecord::kNone;
  PlantedFault fault = PlantedFault::kNone;
  // Small, so that snapshots happen often.
  std::size_t snapshot_entries = 12;
  std::size_t kept_entries = 4;
};

struct SimulatedHost {
  base::HostId id;
  Member member;
  std::unique_ptr<FakeDisk> disk;
  std::unique_ptr<RegisterMachine> machine;
  std::unique_ptr<LogStorage> storage;
  std::unique_ptr<ReplicaDriver> driver;
  std::deque<StorageTask> tasks;
  bool writing = false;
  base::Instant frozen_until;
  // Rises with each start, so that events of a former run are ignored.
  int run = 0;
  Index checked_commit = 0;
  // It is told that its folder was lost, so it does not form a group.
  bool lost_folder = false;
  // Last command that was applied since the disk was new.
  Index applied = 0;

  bool alive() const { return driver != nullptr; }
};

// A group on a simulated network, simulated disks and a logical clock. The same
// seed gives the same history.
class Simulation {
 public:
  explicit Simulation(SimulationOptions options);

  void RunFor(base::Duration duration);
  void After(base::Duration delay, std::function<void()> action);

  // Faults.
  void Kill(SimulatedHost& host);
  // The process dies at the given call to the disk from now on.
  void KillAtDiskCall(SimulatedHost& host, int call);
  void Start(SimulatedHost& host);
  void LoseDisk(SimulatedHost& host);
  void Freeze(SimulatedHost& host, base::Duration duration);
  void Cut(const base::HostId& from, const base::HostId& to);
  void Isolate(const SimulatedHost& host);
  void Heal();
  // The disk takes no more bytes for a while.
  void FillDisk(SimulatedHost& host, base::Duration duration);
  // Kills, cuts, freezes and lost disks at random.
  void StartFaults(base::Duration duration);

  // Operators that race, resend and read.
  void StartOperators(int count, base::Duration duration);
  void Step(SimulatedHost& host, const ReplicaInput& input);
  // Proposes one command; `done` gets the answer or an error.
  void Propose(
      SimulatedHost& host,
      std::string command,
      std::function<void(std::variant<std::string, base::Error>)> done);
  void Read(SimulatedHost& host,
            SimulatedHost& at,
            const std::function<void(std::optional<RegisterAnswer>)>& done);

  // Ends all faults and checks that the group works again and that nothing that
  // was answered is lost.
  void CheckEnd();
  // One line per host.
  std::string Describe();

  SimulatedHost* Leader();
  SimulatedHost& host(int index) { return *hosts_[static_cast<size_t>(index)]; }
  std::size_t hosts() const { return hosts_.size(); }
  base::Instant now() const { return now_; }
  base::Random& random() { return random_; }
  int applied_commands() const { return applied_commands_; }
  // Whether all hosts run and agree that every initial voter is a voter with
  // the folder it has.
  bool AllVotersHealthy();
  int HealthyVoters(const MemberList& members);

  void Report(Violation violation, std::string detail);
  const std::vector<std::pair<Violation, std::string>>& violations() const {
    return violations_;
  }
  bool Has(Violation violation) const;

 private:
  struct Event {
    base::Instant time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.order) < std::tie(time, order);
    }
  };
  struct Operation {
    std::uint64_t id = 0;
    std::uint64_t expected = 0;
    base::Instant start;
    int tries = 0;
  };

  base::Duration RandomDelay(int minimum_us, int maximum_us);
  void Tick(SimulatedHost& host, int run);
  void Deliver(const Message& message);
  void Send(const Message& message);
  void RunTasks(SimulatedHost& host);
  void FinishTasks(SimulatedHost& host, std::vector<StorageTask> tasks);
  // Repeats a failed write until it succeeds.
  void RetryTasks(SimulatedHost& host, const std::vector<StorageTask>& tasks);
  void CarryOut(SimulatedHost& host, DriverEffects effects);
  void CheckHost(SimulatedHost& host);
  void CheckState(SimulatedHost& host);
  void CheckNotReverted(SimulatedHost& host);
  void RandomFault();
  void ChangeAtRandom(SimulatedHost& leader);
  void RestoreMembers();
  SimulatedHost& RandomHost();
  SimulatedHost& LikelyLeader();
  void OperatorTurn(int number, base::Instant until);
  void Try(int number, Operation operation, base::Instant until);
  void NoteAnswer(const Operation& operation, const RegisterAnswer& answer);

  SimulationOptions options_;
  base::Random random_;
  base::Instant now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<SimulatedHost>> hosts_;
  std::set<std::pair<base::HostId, base::HostId>> cuts_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t,
           std::function<void(std::variant<std::string, base::Error>)>>
      proposals_;
  std::map<std::uint64_t, std::function<void(bool)>> reads_;

  std::map<Term, base::HostId> leaders_;
  std::map<Index, Entry> committed_;
  std::map<Index, std::uint64_t> digests_;
  std::vector<HistoryEvent> history_;
  std::map<std::uint64_t, RegisterAnswer> answers_;
  std::map<int, std::uint64_t> known_revision_;
  int applied_commands_ = 0;
  std::vector<std::pair<Violation, std::string>> violations_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_TESTS_CONSENSUS_SIMULATION_H_
