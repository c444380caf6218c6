#include "routing/snapshot_publisher.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "tests/routing/snapshot_fixture.h"

namespace wigeonstair::routing {

namespace {

std::unique_ptr<const Snapshot> Version(std::uint64_t version) {
  auto snapshot = MakeSnapshot(static_cast<int>(version % 5) + 1, 1);
  snapshot->version = version;
  return snapshot;
}

}  // namespace

// Guards against freeing a snapshot that is in use, and against leaking
// snapshots that are not.
TEST_CASE("a snapshot lives as long as its readers") {
  SnapshotPublisher publisher(Version(1));
  {
    const auto reader = publisher.Read();
    const auto second = publisher.Read();
    for (std::uint64_t version = 2; version < 50; ++version)
      publisher.Publish(Version(version));
    CHECK(reader->version == 1);
    CHECK(second->services.at("s").upstreams.size() == 2);
    CHECK(publisher.Read()->version == 49);
    CHECK(publisher.retired_count() == 1);
  }
  publisher.Publish(Version(50));
  CHECK(publisher.retired_count() == 0);
}

// Proves that the count of retired snapshots shows one that is freed too early.
TEST_CASE("freeing a snapshot under a reader is detected") {
  SnapshotPublisher publisher(Version(1), PublisherFault::kIgnoreReaders);
  const auto reader = publisher.Read();
  publisher.Publish(Version(2));
  CHECK(publisher.retired_count() == 0);
}

// Guards against readers that see a freed or partly built snapshot, or an older
// one than before. Meant to run under ThreadSanitizer and AddressSanitizer.
TEST_CASE("readers and publishers run at the same time") {
  SnapshotPublisher publisher(Version(1));
  constexpr int kReaders = 6;
  constexpr int kReads = 20'000;
  std::atomic<int> running{kReaders};
  std::atomic<int> faults{0};
  std::vector<std::thread> threads;
  threads.reserve(kReaders);
  for (int index = 0; index < kReaders; ++index) {
    threads.emplace_back([&] {
      std::uint64_t last = 0;
      for (int read = 0; read < kReads; ++read) {
        const auto reader = publisher.Read();
        const std::size_t expected = reader->version % 5 + 1;
        if (reader->version < last ||
            reader->services.at("s").upstreams.size() != expected)
          ++faults;
        last = reader->version;
      }
      --running;
    });
  }
  std::uint64_t version = 1;
  while (running > 0)
    publisher.Publish(Version(++version));
  for (std::thread& thread : threads)
    thread.join();
  CHECK(faults == 0);
  CHECK(publisher.Read()->version == version);
}

}  // namespace wigeonstair::routing
