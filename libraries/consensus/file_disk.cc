#include "consensus/file_disk.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <system_error>
#include <utility>

namespace wigeonstair::consensus {

namespace {

boost::leaf::error_id SystemFailure(std::string step, std::string file) {
  const int code = errno;
  return base::Fail(base::ErrorCode::kInputOutput, std::move(step),
                    std::move(file), std::generic_category().message(code));
}

class FileDiskFile final : public DiskFile {
 public:
  FileDiskFile(std::string path, int descriptor, std::uint64_t size)
      : path_(std::move(path)),
        descriptor_(descriptor),
        end_(size),
        size_(size) {}
  ~FileDiskFile() override { close(descriptor_); }
  FileDiskFile(const FileDiskFile&) = delete;
  FileDiskFile& operator=(const FileDiskFile&) = delete;

  DiskResult Append(std::string_view bytes) override {
    TRY(WriteAt(end_, bytes));
    end_ += bytes.size();
    return std::monostate();
  }

  // Writes the zeros. posix_fallocate is faster here, but the first write to a
  // block that it allocated changes the extent's state on ext4, which the next
  // sync has to write too.
  DiskResult Reserve(std::uint64_t size) override {
    const std::string zeros(kReserveWriteBytes, '\0');
    while (size_ < size) {
      const std::uint64_t left =
          std::min<std::uint64_t>(size - size_, zeros.size());
      TRY(WriteAt(size_, std::string_view(zeros).substr(0, left)));
    }
    return std::monostate();
  }

  DiskResult Trim() override {
    if (size_ == end_)
      return std::monostate();
    if (ftruncate(descriptor_, static_cast<off_t>(end_)) != 0)
      return SystemFailure("truncate file", path_);
    size_ = end_;
    is_resized_ = true;
    return std::monostate();
  }

  DiskResult Sync() override {
    // fdatasync need not write the size of a file that became shorter.
    if ((is_resized_ ? fsync(descriptor_) : fdatasync(descriptor_)) != 0)
      return SystemFailure("fsync file", path_);
    is_resized_ = false;
    return std::monostate();
  }

 private:
  static constexpr std::size_t kReserveWriteBytes = 64UL * 1024;

  DiskResult WriteAt(std::uint64_t offset, std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t written = pwrite(descriptor_, bytes.data(), bytes.size(),
                                     static_cast<off_t>(offset));
      if (written < 0 && errno == EINTR)
        continue;
      if (written < 0)
        return SystemFailure("append to file", path_);
      bytes.remove_prefix(static_cast<std::size_t>(written));
      offset += static_cast<std::uint64_t>(written);
      is_resized_ |= offset > size_;
      size_ = std::max(size_, offset);
    }
    return std::monostate();
  }

  std::string path_;
  int descriptor_;
  // Where the next append goes.
  std::uint64_t end_;
  // At least end_; the bytes between are zeros.
  std::uint64_t size_;
  // The size has changed since the last sync. A new file and one that was cut
  // on opening count as resized.
  bool is_resized_ = true;
};

// Makes a new folder's entry in its parent durable.
DiskResult SyncPath(const std::filesystem::path& path) {
  const int descriptor = open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return SystemFailure("open folder", path.string());
  const int outcome = fsync(descriptor);
  close(descriptor);
  if (outcome != 0)
    return SystemFailure("fsync folder", path.string());
  return std::monostate();
}

DiskResult CreateFolder(const std::filesystem::path& path) {
  if (path.empty() || std::filesystem::is_directory(path))
    return std::monostate();
  const std::filesystem::path parent = path.parent_path();
  TRY(CreateFolder(parent));
  if (mkdir(path.c_str(), 0750) != 0 && errno != EEXIST)
    return SystemFailure("create folder", path.string());
  return SyncPath(parent.empty() ? "." : parent);
}

}  // namespace

base::Result<std::unique_ptr<FileDisk>> FileDisk::create(std::string folder) {
  while (folder.size() > 1 && folder.back() == '/')
    folder.pop_back();
  TRY(CreateFolder(folder));
  const int descriptor =
      open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0)
    return SystemFailure("open folder", folder);
  return std::unique_ptr<FileDisk>(new FileDisk(std::move(folder), descriptor));
}

FileDisk::FileDisk(std::string folder, int descriptor)
    : folder_(std::move(folder)), descriptor_(descriptor) {}

FileDisk::~FileDisk() {
  close(descriptor_);
}

base::Result<std::vector<std::string>> FileDisk::List() {
  std::vector<std::string> names;
  std::error_code error;
  std::filesystem::directory_iterator entry(folder_, error);
  for (; !error && entry != std::filesystem::directory_iterator();
       entry.increment(error)) {
    names.push_back(entry->path().filename().string());
  }
  if (error) {
    return base::Fail(base::ErrorCode::kInputOutput, "list folder", folder_,
                      error.message());
  }
  return names;
}

base::Result<std::string> FileDisk::Read(const std::string& name) {
  const std::string path = folder_ + "/" + name;
  const int descriptor = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0)
    return SystemFailure("open file", path);
  std::string bytes;
  std::array<char, 65536> buffer;
  ssize_t count = 0;
  while ((count = read(descriptor, buffer.data(), buffer.size())) != 0) {
    if (count < 0 && errno == EINTR)
      continue;
    if (count < 0) {
      auto failure = SystemFailure("read file", path);
      close(descriptor);
      return failure;
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
  close(descriptor);
  return bytes;
}

base::Result<std::unique_ptr<DiskFile>> FileDisk::Create(
    const std::string& name) {
  const std::string path = folder_ + "/" + name;
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (descriptor < 0)
    return SystemFailure("create file", path);
  return std::unique_ptr<DiskFile>(
      std::make_unique<FileDiskFile>(path, descriptor, 0));
}

base::Result<std::unique_ptr<DiskFile>> FileDisk::OpenAt(
    const std::string& name,
    std::uint64_t size) {
  const std::string path = folder_ + "/" + name;
  const int descriptor = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  if (descriptor < 0)
    return SystemFailure("open file", path);
  auto file = std::make_unique<FileDiskFile>(path, descriptor, size);
  if (ftruncate(descriptor, static_cast<off_t>(size)) != 0)
    return SystemFailure("truncate file", path);
  return std::unique_ptr<DiskFile>(std::move(file));
}

DiskResult FileDisk::Rename(const std::string& from, const std::string& to) {
  const std::string source = folder_ + "/" + from;
  const std::string target = folder_ + "/" + to;
  if (rename(source.c_str(), target.c_str()) != 0)
    return SystemFailure("rename file", source);
  return std::monostate();
}

DiskResult FileDisk::Remove(const std::string& name) {
  const std::string path = folder_ + "/" + name;
  if (unlink(path.c_str()) != 0 && errno != ENOENT)
    return SystemFailure("remove file", path);
  return std::monostate();
}

DiskResult FileDisk::SyncFolder() {
  if (fsync(descriptor_) != 0)
    return SystemFailure("fsync folder", folder_);
  return std::monostate();
}

}  // namespace wigeonstair::consensus
