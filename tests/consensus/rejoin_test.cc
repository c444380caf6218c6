#include <catch2/catch.hpp>

#include <algorithm>

#include "consensus/replica.h"

namespace wigeonstair::consensus {

// Found on prg-returns scale-2: a host that lost its disk was told to ask
// followers only. It never got its place back, and the group had no majority
// when a domain was cut off 4 s later.
TEST_CASE("a host without its folder asks the leader that writes to it") {
  const base::Instant start{};
  Replica replica({.host = base::HostId("lost"),
                   .address = "lost",
                   .initial_members = {{.host = base::HostId("follower"),
                                        .address = "follower"}},
                   .new_incarnation = 7},
                  start);
  replica.Step(Message{.from = base::HostId("leader"),
                       .from_incarnation = kFirstIncarnation,
                       .to = base::HostId("lost"),
                       .to_incarnation = kFirstIncarnation,
                       .term = 4,
                       .payload = AppendRequest{}},
               start);
  const ReplicaOutput output = replica.Step(TickInput(), start);
  const auto asked = std::count_if(
      output.after_persist.begin(), output.after_persist.end(),
      [](const Message& message) {
        return message.to == base::HostId("leader") &&
               std::holds_alternative<RejoinRequest>(message.payload);
      });
  CHECK(asked == 1);
}

}  // namespace wigeonstair::consensus
