#include <catch2/catch.hpp>

#include "routing/remote_load.h"

namespace wigeonstair::routing {

namespace {

int ReserveAll(RemoteLoad& load, base::Instant now) {
  int reserved = 0;
  while (load.Reserve(now))
    ++reserved;
  return reserved;
}

}  // namespace

// Guards against forwarding a whole queue to another domain in one burst, and
// against a window that does not adapt to the capacity there.
TEST_CASE("the forwarding window grows with answers, shrinks on refusals") {
  RemoteLoad load;
  base::Instant now{std::chrono::hours(1)};
  CHECK(ReserveAll(load, now) == RemoteLoad::kInitialWindow);
  // The refusals of one full window shrink it once and start the backoff.
  for (int i = 0; i < RemoteLoad::kInitialWindow; ++i)
    load.RecordRefused(now);
  CHECK(load.in_flight() == 0);
  CHECK_FALSE(load.Reserve(now));
  now += RemoteLoad::kRefusalBackoff;
  CHECK(ReserveAll(load, now) == RemoteLoad::kInitialWindow * 3 / 4);
  // A fully used and answered window grows by about one request per round.
  for (int round = 0; round < 100; ++round) {
    while (load.in_flight() > 0)
      load.RecordServed();
    ReserveAll(load, now);
  }
  CHECK(load.window() > RemoteLoad::kInitialWindow * 3);
  // A domain that keeps refusing still gets one request at a time.
  for (int round = 0; round < 100; ++round) {
    while (load.in_flight() > 0)
      load.RecordRefused(now);
    now += RemoteLoad::kRefusalBackoff;
    CHECK(ReserveAll(load, now) >= 1);
  }
  CHECK(load.in_flight() == 1);
}

// Guards against a window that grows while it is hardly used, so that a later
// burst is forwarded without limit.
TEST_CASE("an unused forwarding window does not grow") {
  RemoteLoad load;
  const base::Instant now{std::chrono::hours(1)};
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(load.Reserve(now));
    load.RecordServed();
  }
  CHECK(load.window() == RemoteLoad::kInitialWindow);
}

}  // namespace wigeonstair::routing
