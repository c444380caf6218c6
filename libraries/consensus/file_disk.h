#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_FILE_DISK_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_FILE_DISK_H_

#include <memory>
#include <string>
#include <vector>

#include "consensus/disk.h"

namespace wigeonstair::consensus {

// A Disk in a folder of the file system.
class FileDisk final : public Disk {
 public:
  // Creates the folder, and its parents, when missing.
  static base::Result<std::unique_ptr<FileDisk>> create(std::string folder);
  ~FileDisk() override;
  FileDisk(const FileDisk&) = delete;
  FileDisk& operator=(const FileDisk&) = delete;

  base::Result<std::vector<std::string>> List() override;
  base::Result<std::string> Read(const std::string& name) override;
  base::Result<std::unique_ptr<DiskFile>> Create(
      const std::string& name) override;
  base::Result<std::unique_ptr<DiskFile>> OpenAt(const std::string& name,
                                                 std::uint64_t size) override;
  DiskResult Rename(const std::string& from, const std::string& to) override;
  DiskResult Remove(const std::string& name) override;
  DiskResult SyncFolder() override;

 private:
  FileDisk(std::string folder, int descriptor);

  std::string folder_;
  int descriptor_ = -1;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_FILE_DISK_H_
