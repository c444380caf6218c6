#include "net/connection_table.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace wigeonstair::net {

namespace {

using enum ConnectionPhase;

// A table and its connections, numbered in the order of their arrival.
class Replay {
 public:
  explicit Replay(const ConnectionLimits& limits) : table_(limits) {}

  int Add(const std::string& peer = "1.1.1.1") {
    const int number = static_cast<int>(handles_.size());
    handles_.push_back(
        table_.Add(peer, [this, number] { dropped_.insert(number); }));
    return number;
  }
  bool Change(int number, ConnectionPhase phase, std::size_t bytes = 0) {
    return table_.Change(handles_[static_cast<std::size_t>(number)], phase,
                         bytes);
  }
  void Remove(int number) {
    table_.Remove(handles_[static_cast<std::size_t>(number)]);
  }
  const std::set<int>& dropped() const { return dropped_; }
  const ConnectionTable& table() const { return table_; }

 private:
  ConnectionTable table_;
  std::vector<ConnectionTable::Handle> handles_;
  std::set<int> dropped_;
};

}  // namespace

// Guards against connections that take all descriptors: ordinary callers get
// in, and a request that is being answered stays.
TEST_CASE("over the limit of connections the oldest idle one goes first") {
  Replay replay({.connections = 4, .connections_per_peer = 4});
  const int answering = replay.Add();
  CHECK(replay.Change(answering, kAnswering, 10));
  const int receiving = replay.Add();
  CHECK(replay.Change(receiving, kReceiving, 10));
  const int idle = replay.Add();
  const int used = replay.Add();
  CHECK(replay.Change(idle, kAnswering));
  CHECK(replay.Change(idle, kIdle));
  replay.Add();
  CHECK(replay.dropped() == std::set{used});
  replay.Add();
  CHECK(replay.dropped() == std::set{idle, used});
  replay.Change(4, kAnswering);
  replay.Change(5, kAnswering);
  replay.Add();
  CHECK(replay.dropped() == std::set{receiving, idle, used});
  replay.Change(6, kAnswering);
  // Only itself is left.
  replay.Add();
  CHECK(replay.dropped() == std::set{receiving, idle, used, 7});
  CHECK(replay.table().connections() == 4);
}

// Guards against one peer that takes the connections of all others.
TEST_CASE("a peer over its limit loses a connection of its own") {
  Replay replay({.connections = 10, .connections_per_peer = 2});
  replay.Add("2.2.2.2");
  const int first = replay.Add("1.1.1.1");
  replay.Add("1.1.1.1");
  replay.Add("1.1.1.1");
  CHECK(replay.dropped() == std::set{first});
}

// Guards against unfinished requests that take all memory, and against a whole
// request that is dropped for them.
TEST_CASE("over the limit of bytes the slowest unfinished request goes first") {
  Replay replay({.connections = 10, .connections_per_peer = 10, .bytes = 100});
  const int slow = replay.Add();
  const int fast = replay.Add();
  const int whole = replay.Add();
  const int idle = replay.Add();
  CHECK(replay.Change(slow, kReceiving, 10));
  CHECK(replay.Change(fast, kReceiving, 40));
  CHECK(replay.Change(whole, kReceiving, 50));
  CHECK(replay.Change(slow, kReceiving, 10));
  CHECK(replay.dropped().empty());
  CHECK(replay.Change(whole, kAnswering, 60));
  CHECK(replay.dropped() == std::set{slow});
  CHECK_FALSE(replay.Change(slow, kReceiving, 20));
  CHECK(replay.Change(whole, kAnswering, 80));
  CHECK(replay.dropped() == std::set{slow, fast});
  // Memory of whole requests alone: the new one is refused.
  CHECK_FALSE(replay.Change(idle, kAnswering, 30));
  CHECK(replay.dropped() == std::set{slow, fast});
  CHECK(replay.table().bytes() == 80);
  replay.Remove(slow);
  replay.Remove(whole);
  CHECK(replay.table().bytes() == 0);
  CHECK(replay.table().connections() == 1);
}

// Guards against a budget below what one request needs.
TEST_CASE("limits follow from the machine") {
  const ConnectionLimits small = DeriveConnectionLimits(3075, 120'000'000);
  CHECK(small.connections == 2304);
  CHECK(small.bytes == 16UL * 1024 * 1024);
  CHECK(DeriveConnectionLimits(0, 400'000'000).bytes == 50'000'000);
  CHECK(DeriveConnectionLimits(10, 0).connections == 64);
}

}  // namespace wigeonstair::net
