#ifndef WIGEONSTAIR_LIBRARIES_NET_WIRE_H_
#define WIGEONSTAIR_LIBRARIES_NET_WIRE_H_

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>

namespace wigeonstair::net {

// Little-endian numbers in the fixed headers of frames and datagrams.
template <std::unsigned_integral Number>
void AppendNumber(std::string& bytes, Number number) {
  for (std::size_t i = 0; i < sizeof(Number); ++i)
    bytes.push_back(static_cast<char>((number >> (8 * i)) & 0xFF));
}

// `bytes` must hold at least `offset` + sizeof(Number) bytes.
template <std::unsigned_integral Number>
Number ReadNumber(std::string_view bytes, std::size_t offset) {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    const auto byte = static_cast<unsigned char>(bytes[offset + i]);
    number = static_cast<Number>(number | (static_cast<Number>(byte) << 8 * i));
  }
  return number;
}

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_WIRE_H_
