#include "cluster/messages.h"

#include <utility>

#include "net/codec.h"

namespace wigeonstair::cluster {

std::string EncodeViewRequest(const ViewRequest& request) {
  return net::Encode(request);
}

base::Result<ViewRequest> DecodeViewRequest(std::string_view bytes) {
  return net::Decode<ViewRequest>(bytes);
}

std::string EncodeViewReply(const ViewReply& reply) {
  return net::Encode(reply);
}

base::Result<ViewReply> DecodeViewReply(std::string_view bytes) {
  return net::Decode<ViewReply>(bytes);
}

base::Result<View> View::Apply(const ViewReply& reply,
                               std::uint64_t asked_revision) const {
  if (reply.kind == ViewKind::kUnchanged)
    return *this;
  // A configuration never reverts to an older one, in whatever order replies
  // arrive.
  if (reply.revision < revision) {
    return base::Fail(base::ErrorCode::kConflict, "apply cluster view", {},
                      "revision " + std::to_string(reply.revision) +
                          " is older than " + std::to_string(revision));
  }
  if (reply.kind == ViewKind::kPatch && asked_revision != revision) {
    return base::Fail(
        base::ErrorCode::kConflict, "apply cluster view", {},
        "the patch is relative to revision " + std::to_string(asked_revision));
  }
  View next;
  next.revision = reply.revision;
  next.configuration = ApplyPatch(
      reply.kind == ViewKind::kPatch ? configuration : ClusterConfiguration{},
      reply.patch);
  next.domains = reply.domains;
  return next;
}

}  // namespace wigeonstair::cluster
