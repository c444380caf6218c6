#include <catch2/catch.hpp>

#include "authority/start_gate.h"

namespace wigeonstair::authority {

using std::chrono::seconds;

namespace {

const base::Instant kNow(seconds(100));

// Conditions under which a start is allowed at kNow.
StartConditions AllowedConditions() {
  return {.held_epoch = 5,
          .configured = true,
          .domain_in = true,
          .domain_revision = 7,
          .autonomy = seconds(30),
          .last_log_contact = kNow - seconds(29),
          .recovered = true};
}

}  // namespace

// Guards against a start although a single condition forbids it.
TEST_CASE("each missing condition refuses a start with its reason") {
  const StartGate gate;
  CHECK(gate.Decide(AllowedConditions(), kNow) == StartVerdict::kMayStart);
  StartConditions conditions = AllowedConditions();
  conditions.held_epoch.reset();
  CHECK(gate.Decide(conditions, kNow) == StartVerdict::kNoLease);
  conditions = AllowedConditions();
  conditions.configured = false;
  CHECK(gate.Decide(conditions, kNow) == StartVerdict::kNotConfigured);
  conditions = AllowedConditions();
  conditions.domain_in = false;
  CHECK(gate.Decide(conditions, kNow) == StartVerdict::kDomainOut);
  CHECK(gate.Decide(AllowedConditions(), kNow + seconds(1)) ==
        StartVerdict::kAutonomyRunOut);
  conditions = AllowedConditions();
  conditions.last_log_contact.reset();
  CHECK(gate.Decide(conditions, kNow) == StartVerdict::kAutonomyRunOut);
  conditions = AllowedConditions();
  conditions.recovered = false;
  CHECK(gate.Decide(conditions, kNow) == StartVerdict::kRecovering);
  conditions = AllowedConditions();
  conditions.autonomy.reset();
  CHECK(gate.Decide(conditions, kNow + seconds(10'000)) ==
        StartVerdict::kMayStart);
}

// Guards against a local take-out that ends when the host reconnects to the log
// although the log has no newer command, and against one that no command ends.
TEST_CASE("a local take-out lasts until the log has a newer command") {
  StartGate gate;
  gate.TakeOutLocally(7);
  CHECK(gate.Decide(AllowedConditions(), kNow) ==
        StartVerdict::kTakenOutLocally);
  gate.ObserveRevision(7);
  gate.ObserveRevision(6);
  CHECK(gate.taken_out_locally());
  CHECK(gate.Decide(AllowedConditions(), kNow) ==
        StartVerdict::kTakenOutLocally);
  StartConditions newer = AllowedConditions();
  newer.domain_revision = 8;
  gate.ObserveRevision(8);
  CHECK_FALSE(gate.taken_out_locally());
  CHECK(gate.Decide(newer, kNow) == StartVerdict::kMayStart);
}

}  // namespace wigeonstair::authority
