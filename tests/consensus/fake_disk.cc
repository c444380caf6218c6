#include "tests/consensus/fake_disk.h"

#include <algorithm>
#include <utility>

namespace wigeonstair::consensus {

namespace {

// Small, so that a record of a test has several.
constexpr std::size_t kSectorBytes = 16;

boost::leaf::error_id Failure(const std::string& name, std::string detail) {
  return base::Fail(base::ErrorCode::kInputOutput, "use fake disk", name,
                    std::move(detail));
}

}  // namespace

class FakeDiskFile final : public DiskFile {
 public:
  FakeDiskFile(FakeDisk& disk, std::shared_ptr<FakeDisk::File> file)
      : disk_(disk), file_(std::move(file)), end_(file_->bytes.size()) {}

  DiskResult Append(std::string_view bytes) override {
    TRY(disk_.Call("append"));
    const std::size_t inside =
        std::min(file_->bytes.size() - end_, bytes.size());
    const std::size_t fits = inside + disk_.TakeSpace(bytes.size() - inside);
    file_->bytes.replace(end_, inside, bytes.substr(0, fits));
    end_ += fits;
    if (fits < bytes.size())
      return Failure("append", "no space left");
    return std::monostate();
  }
  DiskResult Reserve(std::uint64_t size) override {
    TRY(disk_.Call("reserve"));
    const std::uint64_t missing =
        size - std::min<std::uint64_t>(size, file_->bytes.size());
    const std::uint64_t fits = disk_.TakeSpace(missing);
    file_->bytes.append(fits, '\0');
    if (fits < missing)
      return Failure("reserve", "no space left");
    return std::monostate();
  }
  DiskResult Trim() override {
    TRY(disk_.Call("trim"));
    file_->bytes.resize(end_);
    return std::monostate();
  }
  DiskResult Sync() override {
    TRY(disk_.Call("sync"));
    if (disk_.failing_syncs_ > 0) {
      --disk_.failing_syncs_;
      if (!file_->after_failed_sync)
        file_->after_failed_sync = file_->durable;
      return Failure("sync", "input/output error");
    }
    file_->durable = file_->bytes;
    return std::monostate();
  }

 private:
  FakeDisk& disk_;
  std::shared_ptr<FakeDisk::File> file_;
  // Where the next append goes.
  std::size_t end_;
};

DiskResult FakeDisk::Call(const std::string& name) {
  ++calls_;
  if (calls_left_) {
    --*calls_left_;
    if (*calls_left_ < 0) {
      calls_left_ = -1;
      return Failure(name, "the process was killed");
    }
  }
  return std::monostate();
}

void FakeDisk::Apply(const NameChange& change, Names& names) {
  if (!change.from.empty())
    names.erase(change.from);
  if (!change.to.empty())
    names[change.to] = change.file;
}

void FakeDisk::ChangeNames(NameChange change) {
  Apply(change, names_);
  unsynced_changes_.push_back(std::move(change));
}

void FakeDisk::Crash() {
  names_ = durable_names_;
  // Half of the crashes keep the changes up to a time, the others any of them.
  const bool in_order = random_.Below(2) == 0;
  const std::size_t limit = random_.Below(unsynced_changes_.size() + 1);
  for (std::size_t i = 0; i < unsynced_changes_.size(); ++i) {
    const bool kept = in_order ? i < limit : random_.Below(2) == 0;
    if (kept)
      Apply(unsynced_changes_[i], names_);
  }
  for (auto& [name, file] : names_) {
    // Open files refer to the state before the crash, so it is copied.
    auto copy = std::make_shared<File>();
    copy->bytes = copy->durable = AfterCrash(*file);
    file = std::move(copy);
  }
  durable_names_ = names_;
  unsynced_changes_.clear();
  calls_left_.reset();
  failing_syncs_ = 0;
  bytes_left_.reset();
}

std::string FakeDisk::AfterCrash(const File& file) {
  if (file.after_failed_sync)
    return *file.after_failed_sync;
  std::string bytes = file.bytes;
  std::string before = file.durable;
  // The size that the file had at some time since the sync; each sector is
  // durable or not, whatever the size is.
  const std::size_t low = std::min(before.size(), bytes.size());
  const std::size_t high = std::max(before.size(), bytes.size());
  const std::size_t size = low + random_.Below(high - low + 1);
  bytes.resize(size, '\0');
  before.resize(size, '\0');
  const bool in_order = random_.Below(2) == 0;
  const std::size_t limit = random_.Below(size + 1);
  for (std::size_t at = 0; at < size; at += kSectorBytes) {
    const bool lost = in_order ? at >= limit : random_.Below(2) == 0;
    if (lost)
      bytes.replace(at, kSectorBytes, before, at, kSectorBytes);
  }
  return bytes;
}

std::uint64_t FakeDisk::TakeSpace(std::uint64_t bytes) {
  if (!bytes_left_)
    return bytes;
  const std::uint64_t fits = std::min(*bytes_left_, bytes);
  *bytes_left_ -= fits;
  return fits;
}

void FakeDisk::SetZeros(const std::string& name,
                        std::size_t from,
                        std::size_t count) {
  names_.at(name)->bytes.replace(from, count, count, '\0');
}

void FakeDisk::FlipBit(const std::string& name, std::uint64_t bit) {
  std::string& bytes = names_.at(name)->bytes;
  bytes[bit / 8] = static_cast<char>(bytes[bit / 8] ^ (1 << (bit % 8)));
}

base::Result<std::vector<std::string>> FakeDisk::List() {
  TRY(Call("list"));
  std::vector<std::string> names;
  for (const auto& item : names_)
    names.push_back(item.first);
  return names;
}

base::Result<std::string> FakeDisk::Read(const std::string& name) {
  TRY(Call(name));
  const auto found = names_.find(name);
  if (found == names_.end())
    return Failure(name, "no such file");
  return found->second->bytes;
}

base::Result<std::unique_ptr<DiskFile>> FakeDisk::Create(
    const std::string& name) {
  TRY(Call(name));
  auto file = std::make_shared<File>();
  ChangeNames({.from = {}, .to = name, .file = file});
  return std::unique_ptr<DiskFile>(
      std::make_unique<FakeDiskFile>(*this, std::move(file)));
}

base::Result<std::unique_ptr<DiskFile>> FakeDisk::OpenAt(
    const std::string& name,
    std::uint64_t size) {
  TRY(Call(name));
  const auto found = names_.find(name);
  if (found == names_.end())
    return Failure(name, "no such file");
  File& file = *found->second;
  file.bytes.resize(size);
  // Bytes that a failed sync lost are lost only while the file has them: those
  // that are written in their place later reach the disk.
  if (file.bytes == file.durable.substr(0, size))
    file.after_failed_sync.reset();
  return std::unique_ptr<DiskFile>(
      std::make_unique<FakeDiskFile>(*this, found->second));
}

DiskResult FakeDisk::Rename(const std::string& from, const std::string& to) {
  TRY(Call(from));
  ChangeNames({.from = from, .to = to, .file = names_.at(from)});
  return std::monostate();
}

DiskResult FakeDisk::Remove(const std::string& name) {
  TRY(Call(name));
  ChangeNames({.from = name, .to = {}, .file = {}});
  return std::monostate();
}

DiskResult FakeDisk::SyncFolder() {
  TRY(Call("sync folder"));
  durable_names_ = names_;
  unsynced_changes_.clear();
  return std::monostate();
}

}  // namespace wigeonstair::consensus
