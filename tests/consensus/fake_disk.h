#ifndef WIGEONSTAIR_TESTS_CONSENSUS_FAKE_DISK_H_
#define WIGEONSTAIR_TESTS_CONSENSUS_FAKE_DISK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "consensus/disk.h"

namespace wigeonstair::consensus {

// A folder in memory that tells durable bytes from written ones. A crash keeps
// or loses each of the folder's changes that were not synced independently, and
// of each file any sectors that were written and not synced.
class FakeDisk final : public Disk {
 public:
  explicit FakeDisk(std::uint64_t seed) : random_(seed) {}

  base::Result<std::vector<std::string>> List() override;
  base::Result<std::string> Read(const std::string& name) override;
  base::Result<std::unique_ptr<DiskFile>> Create(
      const std::string& name) override;
  base::Result<std::unique_ptr<DiskFile>> OpenAt(const std::string& name,
                                                 std::uint64_t size) override;
  DiskResult Rename(const std::string& from, const std::string& to) override;
  DiskResult Remove(const std::string& name) override;
  DiskResult SyncFolder() override;

  // The process dies at the call after this many more; later calls fail.
  void KillAfter(int calls) { calls_left_ = calls; }
  void CancelKill() { calls_left_.reset(); }
  bool killed() const { return calls_left_ && *calls_left_ < 0; }
  // Loses what is not durable and makes the disk usable again.
  void Crash();
  void FailSyncs(int count) { failing_syncs_ = count; }
  void LimitBytes(std::uint64_t bytes) { bytes_left_ = bytes; }
  void FlipBit(const std::string& name, std::uint64_t bit);
  void SetZeros(const std::string& name, std::size_t from, std::size_t count);
  std::uint64_t calls() const { return calls_; }

 private:
  friend class FakeDiskFile;
  struct File {
    std::string bytes;
    std::string durable;
    // A failed sync leaves bytes in memory that no later sync writes, although
    // it succeeds; they vanish with a crash. This is what remains.
    std::optional<std::string> after_failed_sync;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;
  // A creation, rename or removal. The file is no longer found under `from`,
  // and is found under `to`; either may be empty.
  struct NameChange {
    std::string from;
    std::string to;
    std::shared_ptr<File> file;
  };

  DiskResult Call(const std::string& name);
  // Takes the bytes from what the disk has left; returns how many fit.
  std::uint64_t TakeSpace(std::uint64_t bytes);
  std::string AfterCrash(const File& file);
  void ChangeNames(NameChange change);
  static void Apply(const NameChange& change, Names& names);

  base::Random random_;
  Names names_;
  Names durable_names_;
  // Since the last sync of the folder, oldest first.
  std::vector<NameChange> unsynced_changes_;
  std::optional<int> calls_left_;
  std::uint64_t calls_ = 0;
  int failing_syncs_ = 0;
  std::optional<std::uint64_t> bytes_left_;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_TESTS_CONSENSUS_FAKE_DISK_H_
