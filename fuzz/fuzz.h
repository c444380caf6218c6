#ifndef WIGEONSTAIR_FUZZ_FUZZ_H_
#define WIGEONSTAIR_FUZZ_FUZZ_H_

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/result.h"

// Each file of this folder defines it for one group of decoders. A decoder may
// accept or refuse any bytes; whatever else it does is a fault.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size);

namespace wigeonstair::fuzz {

// The first byte of an input selects one of the decoders of a target.
struct Input {
  int decoder = 0;
  std::string_view bytes;
};

inline std::string_view ToBytes(const std::uint8_t* data, std::size_t size) {
  return {reinterpret_cast<const char*>(data), size};
}

inline Input Split(const std::uint8_t* data, std::size_t size) {
  if (size == 0)
    return {};
  return {.decoder = data[0], .bytes = ToBytes(data + 1, size - 1)};
}

// Ends the run, so that libFuzzer reports the input.
inline void Require(bool condition) {
  if (!condition)
    std::abort();
}

// Set by meta/fuzz for the inputs that fuzz_write_corpus makes of valid
// messages.
inline bool MustAccept() {
  static const bool must_accept =
      std::getenv("WIGEONSTAIR_FUZZ_MUST_ACCEPT") != nullptr;
  return must_accept;
}

// The value, or nothing when the decoder refused the input. A refusal must say
// why.
template <typename Decode>
auto Accepted(Decode decode) {
  auto outcome = base::Capture(decode);
  using Value = std::variant_alternative_t<0, decltype(outcome)>;
  if (const auto* error = std::get_if<base::Error>(&outcome)) {
    if (MustAccept())
      std::cerr << error->ToString() << "\n";
    Require(!MustAccept());
    Require(error->code != base::ErrorCode::kInternal &&
            !error->detail.empty());
    return std::optional<Value>();
  }
  return std::optional<Value>(std::get<0>(std::move(outcome)));
}

// An accepted value must be the same after it was written and read again.
template <typename Decode, typename Encode>
auto RoundTrip(std::string_view bytes, Decode decode, Encode encode) {
  auto value = Accepted([&] { return decode(bytes); });
  if (value) {
    const std::string written = encode(*value);
    const auto again =
        Accepted([&] { return decode(std::string_view(written)); });
    Require(again && encode(*again) == written);
  }
  return value;
}

}  // namespace wigeonstair::fuzz

#endif  // WIGEONSTAIR_FUZZ_FUZZ_H_
