#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_DISK_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_DISK_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/result.h"

namespace wigeonstair::consensus {

using DiskResult = base::Result<std::monostate>;

// A file that is open for appending.
class DiskFile {
 public:
  virtual ~DiskFile() = default;

  // Writes after the last appended byte.
  virtual DiskResult Append(std::string_view bytes) = 0;
  // Lengthens the file to `size` with zeros, which later appends overwrite. A
  // sync of an append that does not change the size is cheaper. Fails when the
  // disk is full.
  virtual DiskResult Reserve(std::uint64_t size) = 0;
  // Cuts reserved bytes that no append has overwritten.
  virtual DiskResult Trim() = 0;
  // Makes the file's bytes durable. After a failure nobody knows which bytes
  // are, and a second call proves nothing (the kernel reports a failure once).
  virtual DiskResult Sync() = 0;
};

// The files of one folder. Calls fail with kInputOutput, naming the file. Names
// contain no slash. A fake stands in for it in tests.
class Disk {
 public:
  virtual ~Disk() = default;

  virtual base::Result<std::vector<std::string>> List() = 0;
  virtual base::Result<std::string> Read(const std::string& name) = 0;
  // Creates an empty file or empties an existing one.
  virtual base::Result<std::unique_ptr<DiskFile>> Create(
      const std::string& name) = 0;
  // Opens an existing file after cutting it to `size` bytes, where the next
  // append goes.
  virtual base::Result<std::unique_ptr<DiskFile>> OpenAt(
      const std::string& name,
      std::uint64_t size) = 0;
  virtual DiskResult Rename(const std::string& from, const std::string& to) = 0;
  virtual DiskResult Remove(const std::string& name) = 0;
  // Makes creations, renames and removals durable.
  virtual DiskResult SyncFolder() = 0;
};

}  // namespace wigeonstair::consensus

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_DISK_H_
