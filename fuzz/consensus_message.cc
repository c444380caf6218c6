#include "consensus/codec.h"
#include "consensus/runtime_frame.h"
#include "fuzz/fuzz.h"

namespace {

using namespace wigeonstair;

template <typename T>
void Try(std::string_view bytes) {
  fuzz::RoundTrip(bytes, consensus::Decode<T>,
                  [](const T& value) { return consensus::Encode(value); });
}

}  // namespace

// Messages between the replicas of a group and calls to its leader.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 5) {
    case 0:
      Try<consensus::Message>(input.bytes);
      break;
    case 1:
      Try<consensus::MemberList>(input.bytes);
      break;
    case 2:
      Try<consensus::MemberChange>(input.bytes);
      break;
    case 3:
      fuzz::RoundTrip(input.bytes, consensus::DecodeGroupFrame,
                      [](const consensus::GroupFrame& frame) {
                        return consensus::Encode(frame);
                      });
      break;
    default:
      const auto reply =
          fuzz::RoundTrip(input.bytes, consensus::DecodeForwardReply,
                          [](const consensus::ForwardReply& value) {
                            return consensus::Encode(value);
                          });
      if (reply)
        consensus::FromReply(*reply);
  }
  return 0;
}
