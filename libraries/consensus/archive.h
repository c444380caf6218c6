#ifndef WIGEONSTAIR_LIBRARIES_CONSENSUS_ARCHIVE_H_
#define WIGEONSTAIR_LIBRARIES_CONSENSUS_ARCHIVE_H_

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace wigeonstair::consensus {

// A cereal archive that writes integers in 7-bit groups, low group first, so
// that a heartbeat stays small.
class CompactOutputArchive
    : public cereal::OutputArchive<CompactOutputArchive,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit CompactOutputArchive(std::string& bytes)
      : OutputArchive(this), bytes_(bytes) {}

  void WriteInteger(std::uint64_t value) {
    while (value >= 0x80) {
      bytes_.push_back(static_cast<char>(value | 0x80));
      value >>= 7;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  void WriteBytes(const void* data, std::size_t size) {
    bytes_.append(static_cast<const char*>(data), size);
  }

 private:
  std::string& bytes_;
};

// Reads what CompactOutputArchive wrote. Throws cereal::Exception on malformed
// bytes and never allocates more than the bytes that are left; Decode() in
// codec.h turns that into a Result.
class CompactInputArchive
    : public cereal::InputArchive<CompactInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit CompactInputArchive(std::string_view bytes)
      : InputArchive(this), rest_(bytes) {}

  std::uint64_t ReadInteger() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (rest_.empty())
        throw cereal::Exception("integer is cut off");
      const auto byte = static_cast<std::uint8_t>(rest_.front());
      rest_.remove_prefix(1);
      const std::uint64_t group = byte & 0x7F;
      if (shift == 63 && group > 1)
        break;
      value |= group << shift;
      if ((byte & 0x80) == 0)
        return value;
    }
    throw cereal::Exception("integer is too long");
  }
  void ReadBytes(void* data, std::size_t size) {
    if (size > rest_.size())
      throw cereal::Exception("bytes are cut off");
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }
  std::size_t remaining() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

template <typename Number>
requires std::is_integral_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const Number& value) {
  static_assert(
      std::is_unsigned_v<Number> || std::is_same_v<Number, std::int32_t>,
      "signed values are only used by cereal for variant indexes");
  archive.WriteInteger(static_cast<std::uint64_t>(value));
}

template <typename Number>
requires std::is_integral_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive, Number& value) {
  const std::uint64_t wide = archive.ReadInteger();
  value = static_cast<Number>(wide);
  if (static_cast<std::uint64_t>(value) != wide ||
      (std::is_signed_v<Number> && value < 0)) {
    throw cereal::Exception("integer is out of range");
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const cereal::SizeTag<T>& tag) {
  archive.WriteInteger(tag.size);
}

// Every counted item takes at least one byte, so a count above the bytes that
// are left is malformed. This bounds the memory of a hostile count.
template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive,
                               cereal::SizeTag<T>& tag) {
  const std::uint64_t size = archive.ReadInteger();
  if (size > archive.remaining())
    throw cereal::Exception("count exceeds the message");
  tag.size = size;
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const cereal::BinaryData<T>& data) {
  archive.WriteBytes(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.ReadBytes(data.data, static_cast<std::size_t>(data.size));
}

// Names are not written; cereal's variant code passes its index with one.
template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive& archive,
                               const cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive& archive,
                               cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

// Archives a list item by item, so that memory grows only with real bytes;
// cereal's own vector code resizes to the declared count first.
template <typename Archive, typename List>
void SaveList(Archive& archive, const List& list) {
  archive(cereal::make_size_tag(static_cast<cereal::size_type>(list.size())));
  for (const auto& item : list)
    archive(item);
}

template <typename Archive, typename List>
void LoadList(Archive& archive, List& list) {
  cereal::size_type count = 0;
  archive(cereal::make_size_tag(count));
  list.clear();
  for (cereal::size_type i = 0; i < count; ++i)
    archive(list.emplace_back());
}

}  // namespace wigeonstair::consensus

CEREAL_REGISTER_ARCHIVE(wigeonstair::consensus::CompactOutputArchive)
CEREAL_REGISTER_ARCHIVE(wigeonstair::consensus::CompactInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(wigeonstair::consensus::CompactInputArchive,
                            wigeonstair::consensus::CompactOutputArchive)

#endif  // WIGEONSTAIR_LIBRARIES_CONSENSUS_ARCHIVE_H_
