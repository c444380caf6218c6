#include "fuzz/fuzz.h"
#include "jobs/api.h"
#include "jobs/job_store.h"

namespace {

using namespace wigeonstair;

}  // namespace

// Commands and snapshots of the job store, and the calls between processes.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 4) {
    case 0: {
      const auto command = fuzz::RoundTrip(input.bytes, jobs::DecodeCommand,
                                           jobs::EncodeCommand);
      if (!command)
        break;
      jobs::JobStore store;
      store.Apply(*command);
      store.Apply(*command);
      break;
    }
    case 1:
      fuzz::RoundTrip(input.bytes, jobs::DecodeCall, jobs::EncodeCall);
      break;
    case 2:
      fuzz::RoundTrip(input.bytes, jobs::DecodeEnvelope, jobs::EncodeEnvelope);
      break;
    default: {
      jobs::JobStore store;
      fuzz::Accepted([&] { return store.Restore(input.bytes); });
    }
  }
  return 0;
}
