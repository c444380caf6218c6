#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_COMPACT_BYTES_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_COMPACT_BYTES_H_

#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>

namespace wigeonstair::records {

// Bytes that never change, below 4 GiB. Takes 16 B beside the bytes themselves
// where std::string takes 32 B.
class CompactBytes {
 public:
  CompactBytes() = default;
  explicit CompactBytes(std::string_view bytes)
      : bytes_(bytes.empty()
                   ? nullptr
                   : std::make_unique_for_overwrite<char[]>(bytes.size())),
        size_(static_cast<std::uint32_t>(bytes.size())) {
    if (!bytes.empty())
      std::memcpy(bytes_.get(), bytes.data(), bytes.size());
  }

  std::string_view view() const { return {bytes_.get(), size_}; }

 private:
  std::unique_ptr<char[]> bytes_;
  std::uint32_t size_ = 0;
};

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_COMPACT_BYTES_H_
