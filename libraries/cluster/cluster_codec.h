#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_CODEC_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "cluster/command.h"

namespace wigeonstair::cluster {

// The decoders return kCorruptData on malformed input and never throw.
std::string EncodeCommand(const Command& command);
base::Result<Command> DecodeCommand(std::string_view bytes);
std::string EncodeReply(const CommandReply& reply);
base::Result<CommandReply> DecodeReply(std::string_view bytes);

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_CLUSTER_CODEC_H_
