#include "settings/utf8.h"

#include <algorithm>
#include <cstdint>

namespace wigeonstair::settings {

namespace {

// Length in bytes of the valid sequence at the start of `text`, or 0.
std::size_t SequenceLength(std::string_view text) {
  const auto byte = [&text](std::size_t i) {
    return static_cast<std::uint32_t>(static_cast<unsigned char>(text[i]));
  };
  const std::uint32_t first = byte(0);
  if (first < 0x80)
    return 1;
  if (first < 0xc2 || first > 0xf4)
    return 0;
  const std::size_t length = first < 0xe0 ? 2 : first < 0xf0 ? 3 : 4;
  if (text.size() < length)
    return 0;
  std::uint32_t point = first & (0xffU >> (length + 1));
  for (std::size_t i = 1; i < length; ++i) {
    if ((byte(i) & 0xc0) != 0x80)
      return 0;
    point = (point << 6) | (byte(i) & 0x3f);
  }
  constexpr std::uint32_t kSmallest[] = {0, 0, 0x80, 0x800, 0x10000};
  const bool surrogate = point >= 0xd800 && point <= 0xdfff;
  return point < kSmallest[length] || surrogate || point > 0x10ffff ? 0
                                                                    : length;
}

}  // namespace

std::optional<int> FirstInvalidUtf8Line(std::string_view text) {
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t length = SequenceLength(text.substr(position));
    if (length == 0) {
      return 1 +
             static_cast<int>(std::count(
                 text.begin(),
                 text.begin() + static_cast<std::ptrdiff_t>(position), '\n'));
    }
    position += length;
  }
  return std::nullopt;
}

}  // namespace wigeonstair::settings
