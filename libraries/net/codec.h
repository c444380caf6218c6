#ifndef WIGEONSTAIR_LIBRARIES_NET_CODEC_H_
#define WIGEONSTAIR_LIBRARIES_NET_CODEC_H_

// Encode() and Decode() for message bodies. Include it only in .cc files and
// tests: cereal's headers are heavy.

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/tuple.hpp>
#include <cereal/types/unordered_map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <exception>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

#include "base/result.h"

namespace wigeonstair::net {

static_assert(std::endian::native == std::endian::little,
              "BodyReader reads little-endian numbers");

// Reads what cereal's PortableBinaryOutputArchive writes on a little-endian
// host. cereal's own input archive allocates whatever a length prefix claims;
// this one first compares it with the bytes that are left.
class BodyReader
    : public cereal::InputArchive<BodyReader, cereal::AllowEmptyClassElision> {
 public:
  explicit BodyReader(std::string_view bytes)
      : cereal::InputArchive<BodyReader, cereal::AllowEmptyClassElision>(this),
        rest_(bytes) {
    std::uint8_t little_endian = 0;
    Read(&little_endian, sizeof(little_endian));
    if (little_endian != 1)
      throw cereal::Exception("the body is not little-endian");
  }

  std::size_t remaining() const { return rest_.size(); }

  void Read(void* target, std::size_t size) {
    CheckLength(size);
    if (size != 0)
      std::memcpy(target, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  // Each element takes at least one byte.
  void CheckLength(std::uint64_t length) const {
    if (length > rest_.size())
      throw cereal::Exception("a length exceeds the body");
  }

 private:
  std::string_view rest_;
};

// cereal finds these by name.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Number>
requires std::is_arithmetic_v<Number>
void load(BodyReader& reader, Number& number) {
  reader.Read(&number, sizeof(number));
}

inline void load(BodyReader& reader, bool& value) {
  std::uint8_t byte = 0;
  reader.Read(&byte, sizeof(byte));
  if (byte > 1)
    throw cereal::Exception("a truth value is neither 0 nor 1");
  value = byte == 1;
}

template <typename T>
void serialize(BodyReader& reader, cereal::NameValuePair<T>& pair) {
  reader(pair.value);
}

template <typename T>
void serialize(BodyReader& reader, cereal::SizeTag<T>& tag) {
  reader(tag.size);
  reader.CheckLength(tag.size);
}

template <typename T>
void load(BodyReader& reader, cereal::BinaryData<T>& data) {
  reader.Read(data.data, static_cast<std::size_t>(data.size));
}

// Grows with the elements that arrive, because one byte of the body may stand
// for hundreds of bytes of memory.
template <typename T, typename Allocator>
requires(!std::is_arithmetic_v<T>) void load(
    BodyReader& reader,
    std::vector<T, Allocator>& elements) {
  cereal::size_type size = 0;
  reader(cereal::make_size_tag(size));
  elements.clear();
  for (cereal::size_type i = 0; i < size; ++i)
    reader(elements.emplace_back());
}
// NOLINTEND(readability-identifier-naming)

namespace internal {

class StringBuffer : public std::streambuf {
 public:
  std::string& bytes() { return bytes_; }

 protected:
  std::streamsize xsputn(const char* bytes, std::streamsize size) override {
    bytes_.append(bytes, static_cast<std::size_t>(size));
    return size;
  }
  int_type overflow(int_type byte) override {
    bytes_.push_back(static_cast<char>(byte));
    return byte;
  }

 private:
  std::string bytes_;
};

// Drops the bytes and counts them.
class CountingBuffer : public std::streambuf {
 public:
  std::size_t count() const { return count_; }

 protected:
  std::streamsize xsputn(const char*, std::streamsize size) override {
    count_ += static_cast<std::size_t>(size);
    return size;
  }
  int_type overflow(int_type byte) override {
    ++count_;
    return byte;
  }

 private:
  std::size_t count_ = 0;
};

}  // namespace internal

// The size of Encode(message), at the cost of an encoding.
template <typename Message>
std::size_t EncodedSize(const Message& message) {
  internal::CountingBuffer buffer;
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return buffer.count();
}

// `expected_bytes` are reserved: a large message that grows by doubling takes
// up to three times its size for a moment.
template <typename Message>
std::string Encode(const Message& message, std::size_t expected_bytes = 0) {
  internal::StringBuffer buffer;
  buffer.bytes().reserve(expected_bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return std::move(buffer.bytes());
}

// Fails with kCorruptData when bytes are missing or left over, or when a length
// or a variant's index is out of range. The values of enumerators are not
// checked. `message` is then partly read.
template <typename Message>
base::Result<std::monostate> DecodeInto(Message& message,
                                        std::string_view bytes) {
  const auto fail = [&](std::string detail) {
    return base::Fail(base::ErrorCode::kCorruptData, "decode message", "",
                      std::move(detail));
  };
  try {
    BodyReader reader(bytes);
    reader(message);
    if (reader.remaining() != 0)
      return fail(std::to_string(reader.remaining()) + " bytes are left over");
    return std::monostate{};
  } catch (const std::exception& error) {
    return fail(error.what());
  }
}

// DecodeInto() a new message.
template <typename Message>
base::Result<Message> Decode(std::string_view bytes) {
  Message message{};
  TRY(DecodeInto(message, bytes));
  return message;
}

}  // namespace wigeonstair::net

namespace cereal::traits::detail {

// Tells cereal with which archive the values were written, which it needs for
// save_minimal and load_minimal.
template <>
struct get_output_from_input<wigeonstair::net::BodyReader> {
  using type = cereal::PortableBinaryOutputArchive;
};

}  // namespace cereal::traits::detail

#endif  // WIGEONSTAIR_LIBRARIES_NET_CODEC_H_
