#include "cluster/cluster_state.h"
#include "consensus/codec.h"
#include "fuzz/fuzz.h"
#include "records/record_table.h"

namespace {

using namespace wigeonstair;

// A restored state must be the same after another snapshot.
template <typename State>
void Restore(std::string_view bytes) {
  State state;
  if (!fuzz::Accepted([&] { return state.Restore(bytes); }))
    return;
  const std::string written = state.Snapshot();
  State again;
  fuzz::Require(
      fuzz::Accepted([&] { return again.Restore(written); }).has_value());
  fuzz::Require(again.Snapshot() == written);
}

}  // namespace

// Snapshots of a replica and of both state machines.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  if (input.decoder % 3 == 0) {
    fuzz::RoundTrip(input.bytes, consensus::Decode<consensus::Snapshot>,
                    [](const consensus::Snapshot& snapshot) {
                      return consensus::Encode(snapshot);
                    });
  } else if (input.decoder % 3 == 1) {
    Restore<cluster::ClusterState>(input.bytes);
  } else {
    Restore<records::RecordTable>(input.bytes);
  }
  return 0;
}
