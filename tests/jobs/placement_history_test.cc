#include "jobs/placement_history.h"

#include <catch2/catch.hpp>

namespace wigeonstair::jobs {

namespace {

base::Instant At(std::int64_t ms) {
  return base::Instant(std::chrono::milliseconds(ms));
}

constexpr std::int64_t kWindowMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(kStartWindow).count();

RunKey Run(std::uint32_t attempt) {
  return {.task = {.job = base::JobId("a")}, .attempt = attempt};
}

PlaceTasks Place(std::uint32_t attempt) {
  return {.term = 1,
          .placements = {{.task = Run(attempt).task, .attempt = attempt}}};
}

}  // namespace

TEST_CASE("a start is not taken to be sent after its window") {
  PlacementHistory history(At(0));
  history.Record(Place(1), At(1000));
  const StartHistory starts = history.StartsOf(Run(1), At(30'000));
  CHECK(starts.last_sent_at == At(1000 + kWindowMs));
  CHECK(starts.MayBeCarriedOut());
  CHECK(history.StartsOf(Run(1), At(1500)).last_sent_at == At(1500));
}

TEST_CASE("a confirmed start cannot be carried out again") {
  PlacementHistory history(At(0));
  history.Record(Place(1), At(1000));
  history.Record(ConfirmStarts{.runs = {Run(1)}}, At(1200));
  CHECK(!history.StartsOf(Run(1), At(2000)).MayBeCarriedOut());
  CHECK(history.StartsOf(Run(2), At(2000)).MayBeCarriedOut());
}

// Guards against tasks that are held for long because all hosts that saw their
// placement restarted.
TEST_CASE("time that the log shows counts for a host that replays it") {
  const auto stamp = [](std::uint64_t term, std::uint64_t leader_ms) {
    return ConfirmStarts{.term = term, .leader_ms = leader_ms};
  };
  PlacementHistory history(At(50'000));
  history.Record(stamp(1, 1000), At(50'000));
  history.Record(Place(1), At(50'000));
  history.Record(stamp(1, 1300), At(50'000));
  history.Record(stamp(1, 9300), At(50'000));
  CHECK(history.StartsOf(Run(1), At(60'000)).last_sent_at ==
        At(50'000 - 8000 + kWindowMs));
  // The clocks of two leaders differ.
  history.Record(stamp(2, 900'000), At(50'000));
  CHECK(history.StartsOf(Run(1), At(60'000)).last_sent_at ==
        At(50'000 - 8000 + kWindowMs));
  history.Record(Place(2), At(50'000));
  CHECK(history.StartsOf(Run(2), At(60'000)).last_sent_at ==
        At(50'000 + kWindowMs));
}

TEST_CASE("placements from before a snapshot may be as recent as it") {
  PlacementHistory history(At(0));
  history.Record(Place(1), At(1000));
  history.Record(ConfirmStarts{.runs = {Run(1)}}, At(1200));
  history.Reset(At(50'000));
  const StartHistory starts = history.StartsOf(Run(1), At(60'000));
  CHECK(starts.MayBeCarriedOut());
  CHECK(starts.last_sent_at == At(50'000 + kWindowMs));
}

TEST_CASE("placements are dropped when none of their starts can be late") {
  PlacementHistory history(At(0));
  for (std::uint32_t attempt = 1; attempt <= 1000; ++attempt)
    history.Record(Place(attempt), At(attempt * 1000));
  CHECK(history.size() < 30);
  CHECK(history.unstamped_count() < 30);
  const StartHistory starts = history.StartsOf(Run(1), At(1'000'000));
  CHECK(starts.last_sent_at <= At(1'000'000 - 12'500));
}

}  // namespace wigeonstair::jobs
