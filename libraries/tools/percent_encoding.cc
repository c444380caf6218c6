#include "tools/percent_encoding.h"

namespace wigeonstair::tools {

std::string PercentEncoded(std::string_view text) {
  constexpr std::string_view kUnreserved =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kDigits[byte >> 4];
    encoded += kDigits[byte & 0xf];
  }
  return encoded;
}

}  // namespace wigeonstair::tools
