#include "fuzz/fuzz.h"
#include "services/control/worker_protocol.h"
#include "standin/worker_messages.h"

// What workers send, and the answers that the stand-in worker reads.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  const fuzz::Input input = fuzz::Split(data, size);
  fuzz::Accepted([&]() -> base::Result<std::monostate> {
    switch (input.decoder % 4) {
      case 0:
        TRY(control::DecodeRegistration("w1", input.bytes));
        break;
      case 1:
        TRY(control::DecodeReport("w1", input.bytes));
        break;
      case 2:
        TRY(standin::DecodeReportAnswer(input.bytes));
        break;
      default:
        TRY(standin::DecodeRegistrationAnswer(input.bytes));
    }
    return std::monostate{};
  });
  return 0;
}
