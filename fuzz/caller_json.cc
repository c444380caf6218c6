#include <algorithm>

#include "fuzz/fuzz.h"
#include "services/entry/caller_request.h"
#include "services/entry/upstream_api.h"

namespace {

using namespace wigeonstair;

// Up to the next line break.
std::string TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find('\n'), text.size());
  std::string line(text.substr(0, end));
  text.remove_prefix(std::min(end + 1, text.size()));
  return line;
}

// A method, the rest of the path, the query, headers up to an empty line, and
// the body.
net::HttpRequest MakeRequest(std::string_view prefix, std::string_view text) {
  net::HttpRequest request{.method = TakeLine(text)};
  request.path = std::string(prefix) + TakeLine(text);
  request.query = TakeLine(text);
  for (std::string line = TakeLine(text); !line.empty();
       line = TakeLine(text)) {
    const std::size_t colon = std::min(line.find(':'), line.size());
    request.headers[line.substr(0, colon)] =
        line.substr(std::min(colon + 1, line.size()));
  }
  request.body = std::string(text);
  return request;
}

}  // namespace

// Callers' requests and the announcements of upstreams.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::int64_t kNowMilliseconds = 1'800'000'000'000;
  const fuzz::Input input = fuzz::Split(data, size);
  if (input.decoder % 2 == 0) {
    const net::HttpRequest request =
        MakeRequest(entry::kServicesPrefix, input.bytes);
    fuzz::Accepted([&] {
      return entry::ParseCallerRequest(request, "id", kNowMilliseconds);
    });
  } else {
    const net::HttpRequest request =
        MakeRequest(entry::kUpstreamsPrefix, input.bytes);
    fuzz::Accepted([&] { return entry::ParseUpstreamCall(request); });
  }
  return 0;
}
