#include "net/frame.h"

#include <algorithm>

#include "fuzz/fuzz.h"

namespace {

constexpr std::uint64_t kCluster = 0;
constexpr std::size_t kLimit = 4096;

}  // namespace

// Frames of a TCP connection, which arrives in two pieces. The first byte says
// where it is cut.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  const fuzz::Input input = fuzz::Split(data, size);
  net::FrameReader reader(kCluster, kLimit);
  const std::size_t cut =
      std::min<std::size_t>(input.decoder, input.bytes.size());
  for (const std::string_view piece :
       {input.bytes.substr(0, cut), input.bytes.substr(cut)}) {
    reader.Append(piece);
    for (;;) {
      const auto next = reader.Next();
      if (std::holds_alternative<net::FrameFault>(next))
        return 0;
      const auto* frame = std::get_if<net::Frame>(&next);
      if (frame == nullptr)
        break;
      fuzz::Require(frame->body.size() <= kLimit);
      fuzz::Require(input.bytes.find(net::EncodeFrame(kCluster, *frame)) !=
                    std::string_view::npos);
    }
  }
  return 0;
}
