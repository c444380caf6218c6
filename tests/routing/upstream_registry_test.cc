#include "routing/upstream_registry.h"

#include <catch2/catch.hpp>

#include <string>

namespace wigeonstair::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::Instant At(int time_milliseconds) {
  return base::Instant(milliseconds(time_milliseconds + 1'000'000));
}

Announcement Upstream(std::uint64_t incarnation) {
  return {.id = base::UpstreamId("u1"),
          .service = "s",
          .domain = base::DomainId("d1"),
          .address = "127.0.0.1:9",
          .slots = 8,
          .connections = 64,
          .incarnation = incarnation};
}

UpstreamRegistry Registry(const std::string& host,
                          RegistryFault fault = RegistryFault::kNone) {
  return UpstreamRegistry({.self = base::HostId(host),
                           .domain = base::DomainId("d1"),
                           .fault = fault});
}

bool AnnounceSucceeds(UpstreamRegistry& registry,
                      const Announcement& announcement,
                      int time) {
  return base::Capture([&] {
           return registry.Announce(announcement, At(time));
         }).index() == 0;
}

UpstreamState StateOf(const UpstreamRegistry& registry) {
  return registry.upstreams().at(base::UpstreamId("u1")).update.state;
}

void DeliverUpdates(UpstreamRegistry& from, UpstreamRegistry& to, int time) {
  for (const UpstreamUpdate& update : from.TakeUpdates())
    to.Apply(update, At(time));
}

void TickUntil(UpstreamRegistry& registry, int begin, int end) {
  for (int time = begin; time <= end; time += 100)
    registry.Tick(At(time));
}

}  // namespace

// Guards against sending requests to an upstream that crashed without leaving.
TEST_CASE("an upstream is suspect three seconds after its last heartbeat") {
  for (const auto fault :
       {RegistryFault::kNone, RegistryFault::kIgnoreMissedHeartbeats}) {
    UpstreamRegistry registry = Registry("a", fault);
    REQUIRE(AnnounceSucceeds(registry, Upstream(1), 0));
    TickUntil(registry, 0, 3000);
    CHECK(StateOf(registry) == UpstreamState::kAlive);
    TickUntil(registry, 3000, 3200);
    CHECK((StateOf(registry) == UpstreamState::kSuspect) ==
          (fault == RegistryFault::kNone));
    CHECK(registry.Heartbeat(base::UpstreamId("u1"), 1, At(3300)) ==
          HeartbeatResult::kAccepted);
    CHECK(StateOf(registry) == UpstreamState::kAlive);
  }
}

// Guards invariant I7: neither the host that was told nor the others send
// requests to an upstream that has left, and an older update does not revive
// it.
TEST_CASE("an upstream that leaves gets no requests from any host") {
  for (const auto fault : {RegistryFault::kNone, RegistryFault::kIgnoreLeave}) {
    UpstreamRegistry first = Registry("a", fault);
    UpstreamRegistry second = Registry("b");
    REQUIRE(AnnounceSucceeds(first, Upstream(1), 0));
    const auto announced = first.TakeUpdates();
    second.Apply(announced.front(), At(10));
    first.Leave(base::UpstreamId("u1"), 1, At(500));
    DeliverUpdates(first, second, 600);
    const auto expected = fault == RegistryFault::kNone ? UpstreamState::kLeft
                                                        : UpstreamState::kAlive;
    CHECK(StateOf(first) == expected);
    CHECK(StateOf(second) == expected);
    second.Apply(announced.front(), At(700));
    CHECK(StateOf(second) == expected);
    CHECK(second.Heartbeat(base::UpstreamId("u1"), 1, At(800)) ==
          (fault == RegistryFault::kNone ? HeartbeatResult::kAnnounceAgain
                                         : HeartbeatResult::kAccepted));
  }
}

// Guards against an old process of an upstream that replaces a newer one.
TEST_CASE("a lower incarnation, or one that has left, is refused") {
  for (const auto fault :
       {RegistryFault::kNone, RegistryFault::kAcceptOlderIncarnation}) {
    UpstreamRegistry registry = Registry("a", fault);
    REQUIRE(AnnounceSucceeds(registry, Upstream(5), 0));
    CHECK(AnnounceSucceeds(registry, Upstream(4), 10) ==
          (fault == RegistryFault::kAcceptOlderIncarnation));
  }
  UpstreamRegistry registry = Registry("a");
  REQUIRE(AnnounceSucceeds(registry, Upstream(5), 0));
  CHECK(registry.Heartbeat(base::UpstreamId("u1"), 4, At(20)) ==
        HeartbeatResult::kOutdated);
  registry.Leave(base::UpstreamId("u1"), 5, At(30));
  CHECK_FALSE(AnnounceSucceeds(registry, Upstream(5), 40));
  CHECK(AnnounceSucceeds(registry, Upstream(6), 50));
  CHECK(StateOf(registry) == UpstreamState::kAlive);
}

// Guards against flapping when a load balancer distributes the heartbeats of
// one upstream over the entry hosts.
TEST_CASE("heartbeats spread over several hosts keep an upstream alive") {
  UpstreamRegistry first = Registry("a");
  UpstreamRegistry second = Registry("b");
  UpstreamRegistry third = Registry("c");
  UpstreamRegistry* hosts[] = {&first, &second, &third};
  REQUIRE(AnnounceSucceeds(first, Upstream(1), 0));
  for (int time = 0; time < 60'000; time += 100) {
    if (time % 1000 == 0) {
      hosts[(time / 1000) % 3]->Heartbeat(base::UpstreamId("u1"), 1, At(time));
    }
    for (UpstreamRegistry* from : hosts) {
      from->Tick(At(time));
      for (const UpstreamUpdate& update : from->TakeUpdates()) {
        CHECK(update.state == UpstreamState::kAlive);
        for (UpstreamRegistry* to : hosts) {
          if (to != from)
            to->Apply(update, At(time));
        }
      }
    }
  }
}

// Guards against an upstream that is considered alive forever because the host
// that received its heartbeats died at the same time.
TEST_CASE("an upstream whose reporter is lost needs heartbeats elsewhere") {
  UpstreamRegistry first = Registry("a");
  UpstreamRegistry second = Registry("b");
  REQUIRE(AnnounceSucceeds(first, Upstream(1), 0));
  DeliverUpdates(first, second, 10);
  TickUntil(second, 0, 60'000);
  CHECK(StateOf(second) == UpstreamState::kAlive);
  second.HostLost(base::HostId("a"), At(60'000));
  SECTION("no heartbeat") {
    TickUntil(second, 60'000, 63'100);
    CHECK(StateOf(second) == UpstreamState::kSuspect);
  }
  SECTION("heartbeat reaches this host") {
    second.Heartbeat(base::UpstreamId("u1"), 1, At(61'000));
    TickUntil(second, 60'000, 63'100);
    CHECK(StateOf(second) == UpstreamState::kAlive);
    CHECK(second.upstreams().begin()->second.update.reporter ==
          base::HostId("b"));
  }
}

// Guards against an entry process that was frozen and then marks all upstreams
// as suspect.
TEST_CASE("a frozen process does not take its pause for missed heartbeats") {
  UpstreamRegistry registry = Registry("a");
  REQUIRE(AnnounceSucceeds(registry, Upstream(1), 0));
  TickUntil(registry, 0, 500);
  registry.Tick(At(60'000));
  CHECK(StateOf(registry) == UpstreamState::kAlive);
  TickUntil(registry, 60'000, 63'100);
  CHECK(StateOf(registry) == UpstreamState::kSuspect);
}

// Guards against announcements with values that routing cannot use.
TEST_CASE("malformed announcements are refused") {
  UpstreamRegistry registry = Registry("a");
  Announcement bad = Upstream(1);
  SECTION("id") {
    bad.id = base::UpstreamId("u 1");
  }
  SECTION("service") {
    bad.service = "";
  }
  SECTION("domain") {
    bad.domain = base::DomainId("d2");
  }
  SECTION("slots") {
    bad.slots = 0;
  }
  SECTION("connections") {
    bad.connections = 70'000;
  }
  CHECK_FALSE(AnnounceSucceeds(registry, bad, 0));
  CHECK(registry.upstreams().empty());
}

}  // namespace wigeonstair::routing
