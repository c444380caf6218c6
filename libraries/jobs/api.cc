#include "jobs/api.h"

#include "net/codec.h"

namespace wigeonstair::jobs {

std::string EncodeCall(const Call& call) {
  return net::Encode(call);
}

std::string EncodeEnvelope(const Envelope& envelope) {
  return net::Encode(envelope);
}

base::Result<Call> DecodeCall(std::string_view bytes) {
  return net::Decode<Call>(bytes);
}

base::Result<Envelope> DecodeEnvelope(std::string_view bytes) {
  return net::Decode<Envelope>(bytes);
}

}  // namespace wigeonstair::jobs
