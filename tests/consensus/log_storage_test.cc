#include "consensus/log_storage.h"

#include <unistd.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <string>
#include <vector>

#include "consensus/file_disk.h"
#include "consensus/log_segment.h"
#include "tests/consensus/fake_disk.h"

namespace wigeonstair::consensus {

namespace {

using Opened = std::variant<std::unique_ptr<LogStorage>, base::Error>;

Opened Open(FakeDisk& disk, PlantedFault fault = PlantedFault::kNone) {
  return base::Capture([&] {
    return LogStorage::create({.disk = &disk,
                               .group = "test",
                               .host = base::HostId("h0"),
                               .segment_bytes = 300,
                               .reserve_bytes = 150,
                               .fault = fault});
  });
}

bool Write(LogStorage& storage, PersistBatch batch) {
  const std::vector<PersistBatch> batches{std::move(batch)};
  return base::Capture([&] { return storage.Write(batches); }).index() == 0;
}

PersistBatch Entries(Index first, Index last, Term term) {
  PersistBatch batch{
      .hard_state =
          HardState{.term = term, .vote = base::HostId("h1"), .incarnation = 7},
      .first_index = first};
  for (Index index = first; index <= last; ++index) {
    batch.entries.push_back({.term = term,
                             .kind = EntryKind::kCommand,
                             .data = "entry " + std::to_string(index)});
  }
  return batch;
}

std::vector<std::string> FileNames(FakeDisk& disk) {
  return std::get<std::vector<std::string>>(
      base::Capture([&] { return disk.List(); }));
}

std::string FileBytes(FakeDisk& disk, const std::string& name) {
  return std::get<std::string>(base::Capture([&] { return disk.Read(name); }));
}

void WriteFile(FakeDisk& disk,
               const std::string& name,
               const std::string& bytes) {
  const auto written = base::Capture([&]() -> DiskResult {
    const auto file = TRY(disk.Create(name));
    TRY(file->Append(bytes));
    TRY(file->Sync());
    return disk.SyncFolder();
  });
  REQUIRE_FALSE(std::holds_alternative<base::Error>(written));
}

// What a disk must hold after each batch of the script below.
struct Model {
  std::optional<HardState> hard_state;
  Index snapshot = 0;
  std::vector<Entry> entries;

  bool Equals(const StoredState& stored) const {
    return stored.hard_state == hard_state && stored.entries == entries &&
           (stored.snapshot ? stored.snapshot->index : 0) == snapshot;
  }
  void Apply(const PersistBatch& batch) {
    if (batch.hard_state)
      hard_state = batch.hard_state;
    if (batch.snapshot) {
      const Index drop = batch.snapshot->index - snapshot;
      if (batch.log_after_snapshot == LogAfterSnapshot::kDiscard ||
          drop >= entries.size()) {
        entries.clear();
      } else {
        entries.erase(entries.begin(),
                      entries.begin() + static_cast<std::ptrdiff_t>(drop));
      }
      snapshot = batch.snapshot->index;
    }
    if (batch.truncate_from != 0)
      entries.resize(batch.truncate_from - snapshot - 1);
    entries.insert(entries.end(), batch.entries.begin(), batch.entries.end());
  }
};

// Writes entries 1 to `count`, each with a sync of its own.
bool WriteOneByOne(FakeDisk& disk,
                   Index count,
                   PlantedFault fault = PlantedFault::kNone) {
  Opened opened = Open(disk, fault);
  for (Index index = 1; index <= count; ++index) {
    if (!Write(*std::get<0>(opened), Entries(index, index, 2)))
      return false;
  }
  return true;
}

PersistBatch WithSnapshot(Index index, LogAfterSnapshot after) {
  return {.snapshot = std::make_shared<const Snapshot>(Snapshot{
              .index = index,
              .term = 3,
              .members = {{.host = base::HostId("h0"), .address = "a"}},
              .state = std::string(200, 's')}),
          .log_after_snapshot = after};
}

// Appends, truncations and snapshots over several segments.
std::vector<PersistBatch> Script() {
  std::vector<PersistBatch> script;
  for (Index index = 1; index <= 40; ++index)
    script.push_back(Entries(index, index, 2));
  PersistBatch replaced = Entries(36, 38, 3);
  replaced.truncate_from = 36;
  script.push_back(replaced);
  script.push_back(WithSnapshot(30, LogAfterSnapshot::kKeep));
  script.push_back(Entries(39, 44, 3));
  script.push_back(WithSnapshot(44, LogAfterSnapshot::kKeep));
  script.push_back(Entries(45, 60, 3));
  script.push_back(WithSnapshot(90, LogAfterSnapshot::kDiscard));
  script.push_back(Entries(91, 99, 4));
  return script;
}

}  // namespace

// Guards against a lost acknowledged batch and against half of a batch, for a
// kill at every call to the disk and several outcomes of each crash.
TEST_CASE("a kill at any disk call keeps exactly the acknowledged batches") {
  const std::vector<PersistBatch> script = Script();
  FakeDisk counted(1);
  {
    Opened opened = Open(counted);
    for (const PersistBatch& batch : script)
      REQUIRE(Write(*std::get<0>(opened), batch));
  }
  const int calls = static_cast<int>(counted.calls());
  REQUIRE(calls > 100);
  for (int call = 0; call < calls; ++call) {
    for (std::uint64_t seed = 0; seed < 6; ++seed) {
      FakeDisk disk(seed);
      disk.KillAfter(call);
      Model acknowledged;
      Model attempted;
      Opened opened = Open(disk);
      if (auto* storage = std::get_if<0>(&opened)) {
        for (const PersistBatch& batch : script) {
          attempted.Apply(batch);
          if (!Write(**storage, batch))
            break;
          acknowledged = attempted;
        }
      }
      disk.Crash();
      Opened again = Open(disk);
      if (const auto* error = std::get_if<base::Error>(&again))
        FAIL("call " << call << " seed " << seed << ": " << error->ToString());
      const StoredState stored = std::get<0>(again)->TakeStoredState();
      INFO("call " << call << " seed " << seed);
      // The batch that was interrupted may be there as a whole.
      CHECK((acknowledged.Equals(stored) || attempted.Equals(stored)));
      CHECK(Write(*std::get<0>(again), Entries(200, 200, 9)));
    }
  }
}

// Guards against storage that reads a damaged log as a shorter one.
TEST_CASE("a flipped bit in the middle is refused with file and offset") {
  FakeDisk disk(1);
  {
    Opened opened = Open(disk);
    for (Index index = 1; index <= 10; ++index)
      REQUIRE(Write(*std::get<0>(opened), Entries(index, index, 2)));
  }
  const auto files = base::Capture([&] { return disk.List(); });
  const auto& names = std::get<std::vector<std::string>>(files);
  REQUIRE(names.size() >= 2);
  for (const std::string& name : names) {
    const auto read = base::Capture([&] { return disk.Read(name); });
    const std::uint64_t bits = std::get<std::string>(read).size() * 8;
    for (std::uint64_t bit = 0; bit < bits; bit += 5) {
      disk.FlipBit(name, bit);
      Opened opened = Open(disk);
      // Only the last record may be taken for a torn one.
      if (auto* error = std::get_if<base::Error>(&opened)) {
        CHECK(error->code == base::ErrorCode::kCorruptData);
        CHECK(error->peer == name);
        CHECK(error->detail.find("offset") != std::string::npos);
        disk.FlipBit(name, bit);
        continue;
      }
      const StoredState stored = std::get<0>(opened)->TakeStoredState();
      CHECK(name == names.back());
      CHECK(stored.entries.size() == 9);
      break;
    }
  }
}

// Guards against reserved space that a start takes for a torn write or for
// damage, and shows that the check notices a full segment that keeps its space.
TEST_CASE("reserved space at the end of the log is neither torn nor damaged") {
  for (Index count = 1; count <= 10; ++count) {
    FakeDisk disk(1);
    REQUIRE(WriteOneByOne(disk, count));
    Opened again = Open(disk);
    REQUIRE(again.index() == 0);
    CHECK(std::get<0>(again)->recovery().torn_bytes == 0);
    CHECK(std::get<0>(again)->TakeStoredState().entries.size() == count);
  }
  FakeDisk disk(1);
  REQUIRE(WriteOneByOne(disk, 10, PlantedFault::kSkipTrim));
  CHECK(Open(disk).index() == 1);
}

// Guards against a start that refuses a half-written record or keeps its bytes,
// whichever sectors of it reached the disk.
TEST_CASE("a half-written record in reserved space is a torn tail") {
  int torn = 0;
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    FakeDisk disk(seed);
    {
      Opened opened = Open(disk);
      REQUIRE(Write(*std::get<0>(opened), Entries(1, 1, 2)));
      // The append is done and the sync is not.
      disk.KillAfter(1);
      REQUIRE_FALSE(Write(*std::get<0>(opened), Entries(2, 2, 2)));
    }
    disk.Crash();
    for (Index last = 1; last <= 2; ++last) {
      Opened again = Open(disk);
      REQUIRE(again.index() == 0);
      LogStorage& storage = *std::get<0>(again);
      torn += storage.recovery().torn_bytes > 0 ? 1 : 0;
      const Index stored = storage.TakeStoredState().entries.size();
      CHECK((stored == last || (last == 1 && stored == 2)));
      CHECK((last == 1 || storage.recovery().torn_bytes == 0));
      if (stored < 2)
        REQUIRE(Write(storage, Entries(2, 2, 2)));
    }
  }
  CHECK(torn > 10);
}

// Guards against a log that ends at a record whose blocks read as zeros, and
// shows that the check notices storage that does so.
TEST_CASE("zeros in place of a record before the last one are refused") {
  for (const PlantedFault fault :
       {PlantedFault::kNone, PlantedFault::kStopAtZeros}) {
    FakeDisk disk(1);
    REQUIRE(WriteOneByOne(disk, 10));
    const auto listed = base::Capture([&] { return disk.List(); });
    const std::string name = std::get<0>(listed).back();
    const auto read = base::Capture([&] { return disk.Read(name); });
    const auto& bytes = std::get<std::string>(read);
    const auto split = base::Capture(
        [&] { return SplitSegment(*ParseSegmentName(name), name, bytes); });
    const auto& payloads = std::get<0>(split).payloads;
    REQUIRE(payloads.size() >= 3);
    const auto offset = static_cast<std::size_t>(
        payloads[1].data() - bytes.data() -
        static_cast<std::ptrdiff_t>(kFrameHeaderBytes));
    disk.SetZeros(name, offset, kFrameHeaderBytes + payloads[1].size());
    Opened opened = Open(disk, fault);
    REQUIRE((opened.index() == 0) == (fault == PlantedFault::kStopAtZeros));
    if (const auto* error = std::get_if<base::Error>(&opened)) {
      CHECK(error->code == base::ErrorCode::kCorruptData);
      CHECK(error->peer == name);
      CHECK(error->detail.find("offset " + std::to_string(offset)) !=
            std::string::npos);
    }
  }
}

// Guards against reserved space that the real files handle in another way than
// the fake, over several starts and segments.
TEST_CASE("real files keep the log over restarts") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("wigeonstair-log-" + std::to_string(getpid()));
  std::filesystem::remove_all(folder);
  for (Index index = 1; index <= 20; ++index) {
    auto disk =
        base::Capture([&] { return FileDisk::create(folder.string()); });
    auto opened = base::Capture([&] {
      return LogStorage::create({.disk = std::get<0>(disk).get(),
                                 .group = "test",
                                 .host = base::HostId("h0"),
                                 .segment_bytes = 500,
                                 .reserve_bytes = 70'000});
    });
    REQUIRE(opened.index() == 0);
    LogStorage& storage = *std::get<0>(opened);
    CHECK(storage.recovery().torn_bytes == 0);
    CHECK(storage.TakeStoredState().entries.size() == index - 1);
    REQUIRE(Write(storage, Entries(index, index, 2)));
  }
  std::uintmax_t bytes = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder))
    bytes += file.file_size();
  // Only the last segment has reserved space.
  CHECK(bytes > 70'000);
  CHECK(bytes < 80'000);
  std::filesystem::remove_all(folder);
}

// Guards against a removed segment or snapshot that goes unnoticed.
TEST_CASE("a missing file is refused") {
  for (const bool snapshot : {false, true}) {
    FakeDisk disk(1);
    {
      Opened opened = Open(disk);
      for (Index index = 1; index <= 20; ++index)
        REQUIRE(Write(*std::get<0>(opened), Entries(index, index, 2)));
      if (snapshot)
        REQUIRE(Write(*std::get<0>(opened),
                      WithSnapshot(4, LogAfterSnapshot::kKeep)));
    }
    const auto files = base::Capture([&] { return disk.List(); });
    const auto& names = std::get<std::vector<std::string>>(files);
    const std::string victim = snapshot ? names.back() : names[1];
    base::Capture([&] { return disk.Remove(victim); });
    Opened opened = Open(disk);
    REQUIRE(std::holds_alternative<base::Error>(opened));
    CHECK(std::get<base::Error>(opened).peer == victim);
  }
}

// Guards against a scheduler that ends at each start after a loss of power, as
// one of several removed segments is back on the disk and the next one is not.
TEST_CASE("a removed segment that is back after a power loss is ignored") {
  FakeDisk disk(1);
  std::vector<std::string> removed;
  std::string first_segment;
  {
    Opened opened = Open(disk);
    LogStorage& storage = *std::get<0>(opened);
    for (Index index = 1; index <= 30; ++index)
      REQUIRE(Write(storage, Entries(index, index, 2)));
    const std::vector<std::string> before = FileNames(disk);
    first_segment = FileBytes(disk, before.front());
    REQUIRE(Write(storage, WithSnapshot(28, LogAfterSnapshot::kKeep)));
    const std::vector<std::string> after = FileNames(disk);
    std::set_difference(before.begin(), before.end(), after.begin(),
                        after.end(), std::back_inserter(removed));
  }
  REQUIRE(removed.size() > 1);
  WriteFile(disk, removed.front(), first_segment);
  for (Index index = 31; index <= 33; ++index) {
    Opened opened = Open(disk);
    if (const auto* error = std::get_if<base::Error>(&opened))
      FAIL(error->ToString());
    const StoredState stored = std::get<0>(opened)->TakeStoredState();
    REQUIRE(stored.snapshot);
    CHECK(stored.snapshot->index == 28);
    CHECK(stored.entries.size() == index - 29);
    CHECK(Write(*std::get<0>(opened), Entries(index, index, 2)));
  }
}

// Guards against a lost segment that is taken for a removed one, because an
// earlier one is still there.
TEST_CASE("a missing segment with entries after the snapshot is refused") {
  FakeDisk disk(1);
  std::string first_segment;
  std::vector<std::string> names;
  {
    Opened opened = Open(disk);
    LogStorage& storage = *std::get<0>(opened);
    for (Index index = 1; index <= 80; ++index)
      REQUIRE(Write(storage, Entries(index, index, 2)));
    names = FileNames(disk);
    REQUIRE(names.size() > 5);
    first_segment = FileBytes(disk, names.front());
    REQUIRE(Write(storage, WithSnapshot(8, LogAfterSnapshot::kKeep)));
  }
  REQUIRE(FileNames(disk).front() > names.front());
  WriteFile(disk, names.front(), first_segment);
  // All segments but the first and the last.
  for (std::size_t i = 1; i + 1 < names.size(); ++i)
    base::Capture([&] { return disk.Remove(names[i]); });
  Opened opened = Open(disk);
  REQUIRE(std::holds_alternative<base::Error>(opened));
  CHECK(std::get<base::Error>(opened).code == base::ErrorCode::kCorruptData);
  CHECK(std::get<base::Error>(opened).peer == names[1]);
}

// Guards against a second fsync that hides the failure of the first, and shows
// that the test notices storage that goes on.
TEST_CASE("after a failed fsync nothing is acknowledged any more") {
  for (const PlantedFault fault :
       {PlantedFault::kIgnoreFailedSync, PlantedFault::kNone}) {
    FakeDisk disk(1);
    Opened opened = Open(disk, fault);
    LogStorage& storage = *std::get<0>(opened);
    REQUIRE(Write(storage, Entries(1, 1, 2)));
    disk.FailSyncs(1);
    const bool first = Write(storage, Entries(2, 2, 2));
    const bool second = Write(storage, Entries(3, 3, 2));
    CHECK((first || second) == (fault != PlantedFault::kNone));
    CHECK(storage.failure().has_value() == (fault == PlantedFault::kNone));
  }
}

// Guards against a partial record that counts after the disk was full.
TEST_CASE("a full disk stops the storage and leaves a readable folder") {
  for (std::uint64_t bytes = 0; bytes < 400; bytes += 7) {
    FakeDisk disk(bytes);
    Index acknowledged = 0;
    {
      Opened opened = Open(disk);
      LogStorage& storage = *std::get<0>(opened);
      disk.LimitBytes(bytes);
      while (acknowledged < 20 &&
             Write(storage, Entries(acknowledged + 1, acknowledged + 1, 2))) {
        ++acknowledged;
      }
      disk.LimitBytes(1u << 20);
      CHECK_FALSE(Write(storage, Entries(30, 30, 2)));
    }
    Opened again = Open(disk);
    REQUIRE(again.index() == 0);
    const Index stored = std::get<0>(again)->TakeStoredState().entries.size();
    CHECK(stored == acknowledged);
  }
}

// Guards against bytes of a failed write that count later, and against a log
// that cannot go on after the disk has space again.
TEST_CASE("a write that failed can be repeated") {
  for (std::uint64_t bytes = 0; bytes < 600; bytes += 3) {
    FakeDisk disk(bytes);
    Index stored = 0;
    {
      Opened opened = Open(disk);
      LogStorage& storage = *std::get<0>(opened);
      disk.LimitBytes(bytes);
      while (stored < 30) {
        if (!Write(storage, Entries(stored + 1, stored + 1, 2))) {
          CHECK_FALSE(Write(storage, Entries(stored + 1, stored + 1, 2)));
          disk.LimitBytes(1u << 20);
          REQUIRE_FALSE(std::holds_alternative<base::Error>(
              base::Capture([&] { return storage.Recover(); })));
          REQUIRE(Write(storage, Entries(stored + 1, stored + 1, 2)));
        }
        ++stored;
        if (stored % 7 == 0)
          disk.FailSyncs(1);
      }
    }
    disk.Crash();
    Opened again = Open(disk);
    REQUIRE(again.index() == 0);
    CHECK(std::get<0>(again)->TakeStoredState().entries.size() == stored);
  }
}

// Guards against a data folder that was copied to another host.
TEST_CASE("a folder of another host is refused") {
  FakeDisk disk(1);
  REQUIRE(Write(*std::get<0>(Open(disk)), Entries(1, 1, 2)));
  const auto opened = base::Capture([&] {
    return LogStorage::create(
        {.disk = &disk, .group = "test", .host = base::HostId("h1")});
  });
  CHECK(std::holds_alternative<base::Error>(opened));
}

}  // namespace wigeonstair::consensus
