#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "authority/service.h"

namespace wigeonstair::authority {

namespace {

const net::Address kAddresses[] = {{.ip = "127.0.0.1", .port = 1},
                                   {.ip = "127.0.0.1", .port = 2}};
const base::HostId kHosts[] = {base::HostId("a"), base::HostId("b")};

// Two services whose datagrams are delivered to each other in the process.
class ServicePair {
 public:
  ServicePair() {
    for (std::size_t i = 0; i < 2; ++i) {
      auto made = base::Capture([&] { return Service::create(Options(i)); });
      REQUIRE(made.index() == 0);
      services[i] = std::move(std::get<0>(made));
    }
    ready_ = true;
  }
  ~ServicePair() {
    for (const auto& service : services)
      service->Stop();
    loop.Stop();
  }

  // Waits until one service holds the lease; only the time-out of the test ends
  // the wait otherwise. Returns its index.
  int WaitForHolder() const {
    while (true) {
      for (int i = 0; i < 2; ++i) {
        if (services[static_cast<std::size_t>(i)]->HeldEpoch(
                base::MonotonicClock::now()))
          return i;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  net::EventLoop loop{{.threads = 2}};
  std::array<std::unique_ptr<Service>, 2> services;
  std::atomic<int> acquired = 0;

 private:
  ServiceOptions Options(std::size_t self) {
    return {.loop = &loop,
            .domain = base::DomainId("linz"),
            .election = {.self = kHosts[self],
                         // Renewals come in time on a busy machine, too.
                         .lease = std::chrono::milliseconds(1'000),
                         .renewal_interval = std::chrono::milliseconds(100)},
            .tick = std::chrono::milliseconds(10),
            .send =
                [this, self](const net::Address& to, net::MessageType type,
                             const std::string& body) {
                  // Delivered by another thread, as by a socket's handler.
                  loop.Post([this, self, to, type, body] {
                    if (ready_)
                      services[to == kAddresses[0] ? 0 : 1]->Receive(
                          kAddresses[self], type, body);
                  });
                },
            .on_change =
                [this](const StateChange& change) {
                  acquired += std::holds_alternative<Acquired>(change) ? 1 : 0;
                },
            .event_log = base::EventLog::CreateSilent()};
  }

  std::atomic<bool> ready_ = false;
};

}  // namespace

// Guards against a service that does not pass on the messages, state changes or
// release of the election.
TEST_CASE("two services elect an authority and pass it on") {
  // Epochs start from the wall clock in milliseconds. Attempts raise the epoch
  // faster than a clock in seconds, so that a restarted voter could vote for an
  // epoch that was used before.
  const std::int64_t lowest_epoch = base::WallClockNow().count();
  ServicePair pair;
  const MemberAddresses members = {{kHosts[0], kAddresses[0]},
                                   {kHosts[1], kAddresses[1]}};
  for (const auto& service : pair.services)
    service->SetMembers(members, 1);
  const int first = pair.WaitForHolder();
  const auto holder = pair.services[static_cast<std::size_t>(first)]->holder();
  REQUIRE(holder.has_value());
  CHECK(holder->epoch >= lowest_epoch);
  pair.services[static_cast<std::size_t>(first)]->Release();
  CHECK(pair.WaitForHolder() == 1 - first);
  // Stop() returns after the last callback.
  for (const auto& service : pair.services)
    service->Stop();
  CHECK(pair.acquired >= 2);
  CHECK(pair.services[0]->dropped() == 0);
}

// Guards against votes of a process at a former address of a host, and against
// malformed datagrams.
TEST_CASE("datagrams that are malformed or of unknown origin are dropped") {
  ServicePair pair;
  pair.services[0]->SetMembers(
      {{kHosts[0], kAddresses[0]}, {kHosts[1], kAddresses[1]}}, 1);
  const Message release = LeaseRelease{.sender = kHosts[1], .epoch = 1};
  pair.services[0]->Receive({.ip = "127.0.0.1", .port = 9}, TypeOf(release),
                            EncodeMessage(release));
  pair.services[0]->Receive(kAddresses[1], TypeOf(release), "x");
  CHECK(pair.services[0]->dropped() == 2);
}

}  // namespace wigeonstair::authority
