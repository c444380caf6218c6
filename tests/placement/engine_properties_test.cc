#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "tests/placement/history.h"

namespace wigeonstair::placement {

namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kHistories = 60;
constexpr int kManyHistories = 1500;
constexpr int kMaximumSize = 80;

// Weight of authority changes in which one worker with tasks is partitioned.
enum class PartitionFrequency : std::size_t { kNever = 0, kOften = 6 };

// Submissions and the passing of time are the most frequent operations.
rc::Gen<Operation> AnyOperation(PartitionFrequency partitions) {
  return rc::gen::build<Operation>(
      rc::gen::set(&Operation::kind,
                   rc::gen::weightedElement<OperationKind>(
                       {{10, OperationKind::kAdvance},
                        {14, OperationKind::kSubmit},
                        {3, OperationKind::kCancel},
                        {2, OperationKind::kLoseWorker},
                        {3, OperationKind::kReturnWorker},
                        {1, OperationKind::kTakeOut},
                        {2, OperationKind::kTakeIn},
                        {3, OperationKind::kDropDirective},
                        {2, OperationKind::kToggleFailing},
                        {1, OperationKind::kChangeGuarantees},
                        {1, OperationKind::kChangeAuthority},
                        {static_cast<std::size_t>(partitions),
                         OperationKind::kChangeAuthorityWithPartition},
                        {2, OperationKind::kFullReport}})),
      rc::gen::set(&Operation::first, rc::gen::inRange(0, 1000)),
      rc::gen::set(&Operation::second, rc::gen::inRange(0, 1000)));
}

// Runs random histories with a fixed seed and returns a description of the
// first one that violates a property in `watched`, shrunk unless a fault is
// planted. Empty when none does.
std::string FindCounterExample(
    const std::vector<BrokenProperty>& watched,
    PlantedFault fault,
    int histories,
    PartitionFrequency partitions = PartitionFrequency::kNever) {
  rc::detail::TestParams parameters;
  parameters.seed = kSeed;
  parameters.maxSuccess = histories;
  parameters.maxSize = kMaximumSize;
  parameters.disableShrinking = fault != PlantedFault::kNone;
  const auto result = rc::detail::checkTestable(
      [&] {
        const auto operations = *rc::gen::container<std::vector<Operation>>(
            AnyOperation(partitions));
        for (const Violation& violation : History(fault).Run(operations)) {
          if (std::find(watched.begin(), watched.end(), violation.broken) !=
              watched.end())
            RC_FAIL(violation.text);
        }
      },
      rc::detail::TestMetadata(), parameters);
  if (result.template is<rc::detail::SuccessResult>())
    return {};
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  return text.str();
}

std::string CounterExampleWithoutFault(
    const std::vector<BrokenProperty>& watched) {
  return FindCounterExample(watched, PlantedFault::kNone, kHistories);
}

// Whether a planted fault is detected within the same number of histories.
bool FindsFault(const std::vector<BrokenProperty>& watched,
                PlantedFault fault) {
  return !FindCounterExample(watched, fault, kHistories).empty();
}

}  // namespace

// Guards against guarantees that cannot be reclaimed from borrowers (I1).
TEST_CASE("(a) stopping borrowed tasks provides all unclaimed guarantees") {
  CHECK_THAT(CounterExampleWithoutFault({BrokenProperty::kGuarantee}),
             Catch::Equals(""));
  CHECK(FindsFault({BrokenProperty::kGuarantee},
                   PlantedFault::kClaimWithoutCell));
}

// Guards against gangs of which only a part runs (I2).
TEST_CASE("(b) no part of a gang runs unless the whole gang runs") {
  CHECK_THAT(CounterExampleWithoutFault({BrokenProperty::kGang}),
             Catch::Equals(""));
  CHECK(FindsFault({BrokenProperty::kGang},
                   PlantedFault::kStartBeforeAllPrepared));
  CHECK(
      FindsFault({BrokenProperty::kGang}, PlantedFault::kKeepGangAfterFailure));
  CHECK(FindsFault({BrokenProperty::kGang}, PlantedFault::kIgnoreStartTimeout));
}

// Guards against tasks that start after the domain was taken out of service
// (I3).
TEST_CASE("(c) nothing starts in a domain that is out") {
  CHECK_THAT(CounterExampleWithoutFault({BrokenProperty::kOutDomain}),
             Catch::Equals(""));
  CHECK(FindsFault({BrokenProperty::kOutDomain}, PlantedFault::kStartWhileOut));
}

// Guards against two tasks on one accelerator, and against jobs that a drain
// checkpoints and never starts again.
TEST_CASE("(d) no accelerator is granted twice and no task is lost") {
  CHECK_THAT(CounterExampleWithoutFault(
                 {BrokenProperty::kDoubleGrant, BrokenProperty::kLostTask}),
             Catch::Equals(""));
  CHECK(FindsFault({BrokenProperty::kDoubleGrant}, PlantedFault::kGrantTwice));
  CHECK(FindsFault({BrokenProperty::kLostTask},
                   PlantedFault::kDropCheckpointedJobs));
}

// Guards against jobs whose end or reason to wait is never reported.
TEST_CASE("(e) every job ends or waits with a reason") {
  CHECK_THAT(CounterExampleWithoutFault({BrokenProperty::kUnanswered}),
             Catch::Equals(""));
  CHECK(FindsFault({BrokenProperty::kUnanswered},
                   PlantedFault::kIgnoreInfeasibleJobs));
}

// Guards against a new authority that starts a job while it still runs on a
// worker that has not reported, and against starts during recovery that violate
// the guarantees of other customers (I1) or another property.
TEST_CASE("(f) a job started during recovery cannot already be running") {
  const std::vector<BrokenProperty> all = {
      BrokenProperty::kGuarantee, BrokenProperty::kGang,
      BrokenProperty::kOutDomain, BrokenProperty::kDoubleGrant,
      BrokenProperty::kLostTask,  BrokenProperty::kRunTwice,
      BrokenProperty::kUnanswered};
  CHECK_THAT(FindCounterExample(all, PlantedFault::kNone, 4 * kHistories,
                                PartitionFrequency::kOften),
             Catch::Equals(""));
  CHECK_FALSE(FindCounterExample({BrokenProperty::kRunTwice},
                                 PlantedFault::kStartAnyInRecovery,
                                 4 * kHistories, PartitionFrequency::kOften)
                  .empty());
}

// Guards against yields that violate a property when combined with lost
// workers, lost directives, guarantee changes and other operations.
TEST_CASE("every property holds while gangs yield") {
  const auto submit = [](int shape, int selector) {
    return Operation{
        .kind = OperationKind::kSubmit, .first = shape, .second = selector};
  };
  int yielded = 0;
  constexpr int kLast = static_cast<int>(OperationKind::kFullReport);
  for (int disturbance = 0; disturbance <= kLast; ++disturbance) {
    // Customer b fills the domain with gangs; its cells cover one of them.
    std::vector<Operation> operations(3, submit(3, 81));
    operations.push_back({.kind = OperationKind::kAdvance, .first = 10});
    // Short jobs of customer a.
    for (int i = 0; i < 14; ++i)
      operations.push_back(submit(1, 0));
    operations.push_back({.kind = OperationKind::kAdvance, .first = 4});
    operations.push_back({.kind = static_cast<OperationKind>(disturbance)});
    operations.push_back({.kind = OperationKind::kAdvance, .first = 20});
    History history(PlantedFault::kNone);
    for (const Violation& violation : history.Run(operations))
      FAIL_CHECK(violation.text);
    yielded += history.yielded_tasks();
  }
  CHECK(yielded >= 12);
}

// Guards against faults that are too rare for the runs above, such as a
// reservation for a gang that was not blocked by a lack of capacity, which
// blocked another job indefinitely (found after 154 histories). Hidden, because
// it takes minutes with sanitizers; CI runs it in the release build:
// placement_test "[histories]".
TEST_CASE("every property holds over many histories", "[.][histories]") {
  CHECK_THAT(FindCounterExample(
                 {BrokenProperty::kGuarantee, BrokenProperty::kGang,
                  BrokenProperty::kOutDomain, BrokenProperty::kDoubleGrant,
                  BrokenProperty::kLostTask, BrokenProperty::kUnanswered},
                 PlantedFault::kNone, kManyHistories),
             Catch::Equals(""));
  CHECK_THAT(
      FindCounterExample(
          {BrokenProperty::kGuarantee, BrokenProperty::kGang,
           BrokenProperty::kOutDomain, BrokenProperty::kDoubleGrant,
           BrokenProperty::kLostTask, BrokenProperty::kRunTwice,
           BrokenProperty::kUnanswered},
          PlantedFault::kNone, kManyHistories, PartitionFrequency::kOften),
      Catch::Equals(""));
}

}  // namespace wigeonstair::placement
