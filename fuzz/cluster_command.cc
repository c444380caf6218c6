#include "cluster/cluster_codec.h"
#include "cluster/cluster_state.h"
#include "cluster/messages.h"
#include "fuzz/fuzz.h"

namespace {

using namespace wigeonstair;

}  // namespace

// Commands and replies of the cluster state, and the view of an entry process.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 4) {
    case 0: {
      fuzz::RoundTrip(input.bytes, cluster::DecodeCommand,
                      cluster::EncodeCommand);
      cluster::ClusterState state;
      for (int i = 0; i < 2; ++i) {
        const std::string reply = state.ApplyEncoded(input.bytes);
        fuzz::Accepted([&] { return cluster::DecodeReply(reply); });
      }
      break;
    }
    case 1:
      fuzz::RoundTrip(input.bytes, cluster::DecodeReply, cluster::EncodeReply);
      break;
    case 2:
      fuzz::RoundTrip(input.bytes, cluster::DecodeViewRequest,
                      cluster::EncodeViewRequest);
      break;
    default: {
      const auto reply = fuzz::RoundTrip(input.bytes, cluster::DecodeViewReply,
                                         cluster::EncodeViewReply);
      if (reply)
        fuzz::Accepted([&] { return cluster::View().Apply(*reply, 0); });
    }
  }
  return 0;
}
