#include "net/request_reader.h"

#include <algorithm>
#include <string>
#include <vector>

#include "fuzz/fuzz.h"

namespace {

using wigeonstair::net::ReceivedRequest;
using wigeonstair::net::RequestReader;

constexpr wigeonstair::net::RequestLimits kLimits = {
    .head_bytes = 512,
    .body_bytes = 256,
    .chunk_overhead_bytes = 512,
    .empty_line_bytes = 8};
// Of the request line, and what a string that grew may have in reserve.
constexpr std::size_t kMostBytesHeld = 64UL * 1024;

struct Outcome {
  std::vector<ReceivedRequest> requests;
  int refused_with = 0;
};

// Feeds pieces of `size` bytes, or all at once for 0.
Outcome ReadAll(std::string_view bytes, std::size_t size) {
  Outcome outcome;
  RequestReader reader(kLimits);
  const std::size_t step =
      size == 0 ? std::max<std::size_t>(bytes.size(), 1) : size;
  for (std::size_t begin = 0; begin < bytes.size(); begin += step) {
    auto state = reader.Feed(bytes.substr(begin, step));
    while (state == RequestReader::State::kWhole) {
      outcome.requests.push_back(reader.Take());
      state = reader.Feed({});
    }
    wigeonstair::fuzz::Require(reader.bytes_held() <= kMostBytesHeld);
    if (state == RequestReader::State::kRefused)
      break;
  }
  if (reader.End() == RequestReader::State::kRefused)
    outcome.refused_with = reader.refusal().status;
  return outcome;
}

}  // namespace

// The bytes of a connection. The first byte of the input says in pieces of
// which size they arrive; the requests must not depend on it.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  const fuzz::Input input = fuzz::Split(data, size);
  const Outcome whole = ReadAll(input.bytes, 0);
  const Outcome pieces =
      ReadAll(input.bytes, static_cast<std::size_t>(input.decoder));
  fuzz::Require(!fuzz::MustAccept() || whole.refused_with == 0);
  fuzz::Require(whole.requests.size() == pieces.requests.size());
  for (std::size_t i = 0; i < whole.requests.size(); ++i) {
    const ReceivedRequest& left = whole.requests[i];
    const ReceivedRequest& right = pieces.requests[i];
    fuzz::Require(left.request.body.size() <= kLimits.body_bytes);
    fuzz::Require(left.request.method == right.request.method &&
                  left.request.path == right.request.path &&
                  left.request.query == right.request.query &&
                  left.request.headers == right.request.headers &&
                  left.request.body == right.request.body &&
                  left.keep_alive == right.keep_alive);
  }
  fuzz::Require((whole.refused_with == 0) == (pieces.refused_with == 0));
  return 0;
}
