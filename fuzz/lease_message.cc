#include "authority/messages.h"

#include "fuzz/fuzz.h"

// Lease messages between the control hosts of a domain.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  const fuzz::Input input = fuzz::Split(data, size);
  const auto type = static_cast<net::MessageType>(
      authority::kLeaseRequestMessage + input.decoder % 4);
  fuzz::RoundTrip(
      input.bytes,
      [&](std::string_view bytes) {
        return authority::DecodeMessage(type, bytes);
      },
      [&](const authority::Message& message) {
        fuzz::Require(authority::TypeOf(message) == type);
        return authority::EncodeMessage(message);
      });
  return 0;
}
