#include "services/scheduler/round_pacer.h"

#include <catch2/catch.hpp>

namespace wigeonstair::scheduler {

namespace {

using std::chrono::milliseconds;

// The share of the time that rounds take which last `round` each, while another
// one is asked for as soon as one ends.
double ShareOfRounds(base::Duration round, base::Duration span) {
  constexpr base::Duration kRoundDelay = milliseconds(2);
  RoundPacer pacer;
  const base::Instant begin{milliseconds(1000)};
  base::Instant now = begin;
  base::Duration in_rounds{};
  while (now < begin + span) {
    now += round;
    in_rounds += round;
    pacer.RecordRound(now, round);
    now += kRoundDelay;
    now += pacer.TimeUntilNextRound(now);
  }
  return static_cast<double>(in_rounds.count()) /
         static_cast<double>((now - begin).count());
}

}  // namespace

TEST_CASE("slow rounds leave most of the loop to calls") {
  CHECK(ShareOfRounds(milliseconds(5), std::chrono::seconds(10)) <= 0.34);
  CHECK(ShareOfRounds(milliseconds(20), std::chrono::seconds(10)) <= 0.34);
  CHECK(ShareOfRounds(milliseconds(70), std::chrono::seconds(10)) <= 0.34);
}

TEST_CASE("the first round and one after a short round begin at once") {
  RoundPacer pacer;
  const base::Instant now{milliseconds(1000)};
  CHECK(pacer.TimeUntilNextRound(now) == base::Duration::zero());
  pacer.RecordRound(now, std::chrono::microseconds(200));
  CHECK(pacer.TimeUntilNextRound(now + milliseconds(2)) ==
        base::Duration::zero());
}

TEST_CASE("a suspended host does not delay the next round for long") {
  RoundPacer pacer;
  const base::Instant now{milliseconds(1000)};
  pacer.RecordRound(now, std::chrono::seconds(3));
  CHECK(pacer.TimeUntilNextRound(now) <= milliseconds(150));
}

}  // namespace wigeonstair::scheduler
