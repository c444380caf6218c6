#include "cluster/cluster_codec.h"

#include "net/codec.h"

namespace wigeonstair::cluster {

std::string EncodeCommand(const Command& command) {
  return net::Encode(command);
}

base::Result<Command> DecodeCommand(std::string_view bytes) {
  return net::Decode<Command>(bytes);
}

std::string EncodeReply(const CommandReply& reply) {
  return net::Encode(reply);
}

base::Result<CommandReply> DecodeReply(std::string_view bytes) {
  return net::Decode<CommandReply>(bytes);
}

}  // namespace wigeonstair::cluster
