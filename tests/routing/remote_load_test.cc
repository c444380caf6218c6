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

// Guards against a queue that is sent to another domain in one burst, and
// against a window that does not follow the room there.
TEST_CASE("the window of another domain follows its answers") {
  RemoteLoad load;
  base::Instant now{std::chrono::hours(1)};
  CHECK(ReserveAll(load, now) == RemoteLoad::kInitialWindow);
  // Of one full window, the refusals count once, and a pause follows.
  for (int i = 0; i < RemoteLoad::kInitialWindow; ++i)
    load.RecordRefused(now);
  CHECK(load.in_flight() == 0);
  CHECK_FALSE(load.Reserve(now));
  now += RemoteLoad::kRefusalBackoff;
  CHECK(ReserveAll(load, now) == RemoteLoad::kInitialWindow * 3 / 4);
  // Answered windows grow by about one request a round.
  for (int round = 0; round < 100; ++round) {
    while (load.in_flight() > 0)
      load.RecordServed();
    ReserveAll(load, now);
  }
  CHECK(load.window() > RemoteLoad::kInitialWindow * 3);
  // A domain that refuses for long is still asked, by one request at a time.
  for (int round = 0; round < 100; ++round) {
    while (load.in_flight() > 0)
      load.RecordRefused(now);
    now += RemoteLoad::kRefusalBackoff;
    CHECK(ReserveAll(load, now) >= 1);
  }
  CHECK(load.in_flight() == 1);
}

// Guards against a window that grows although it is not used, so that a later
// burst is sent at once.
TEST_CASE("a window that is not used does not grow") {
  RemoteLoad load;
  const base::Instant now{std::chrono::hours(1)};
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(load.Reserve(now));
    load.RecordServed();
  }
  CHECK(load.window() == RemoteLoad::kInitialWindow);
}

}  // namespace wigeonstair::routing
