#ifndef WIGEONSTAIR_LIBRARIES_CLUSTER_MESSAGES_H_
#define WIGEONSTAIR_LIBRARIES_CLUSTER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/strong_id.h"
#include "cluster/cluster_state.h"
#include "cluster/configuration_patch.h"
#include "net/message_channel.h"

namespace wigeonstair::cluster {

// Sent by an entry process to the control process of the same host twice a
// second. The body is an encoded ViewRequest and the reply a ViewReply.
inline constexpr net::MessageType kViewMessage = 300;

struct ViewRequest {
  // The revision that the caller has applied; 0 for none.
  std::uint64_t known_revision = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(known_revision);
  }
};

enum class ViewKind : std::uint8_t {
  kUnchanged,
  kPatch,  // Relative to the known revision.
  kFull,   // Relative to an empty configuration.
};

struct ViewReply {
  ViewKind kind = ViewKind::kUnchanged;
  std::uint64_t revision = 0;
  ConfigurationPatch patch;
  std::map<base::DomainId, DomainState> domains;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT: cereal's name.
    archive(kind, revision, patch, domains);
  }
};

// The decoders return kCorruptData on malformed input and never throw.
std::string EncodeViewRequest(const ViewRequest& request);
base::Result<ViewRequest> DecodeViewRequest(std::string_view bytes);
std::string EncodeViewReply(const ViewReply& reply);
base::Result<ViewReply> DecodeViewReply(std::string_view bytes);

// The configuration and domain states as known to an entry process. A value
// type: Apply() returns the next view.
struct View {
  std::uint64_t revision = 0;
  ClusterConfiguration configuration;
  std::map<base::DomainId, DomainState> domains;

  // Fails with kConflict when the reply is older than this view or relative to
  // another revision; the caller then requests a full view with revision 0.
  base::Result<View> Apply(const ViewReply& reply,
                           std::uint64_t asked_revision) const;
};

}  // namespace wigeonstair::cluster

#endif  // WIGEONSTAIR_LIBRARIES_CLUSTER_MESSAGES_H_
