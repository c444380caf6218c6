#include "services/entry/caller_request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace wigeonstair::entry {

namespace {

constexpr std::int64_t kDefaultDeadlineMilliseconds = 2'000;
constexpr std::int64_t kMaximumDeadlineMilliseconds = 60'000;
constexpr std::size_t kMinimumKeyLength = 8;
constexpr std::size_t kMaximumNameLength = 128;
// A caller sets Request-Issued just before its first send of a key, so an older
// request may be a resend.
constexpr std::int64_t kFirstSendAgeMilliseconds = 1'000;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' || c == '-';
}

boost::leaf::error_id Invalid(std::string detail) {
  return base::Fail(base::ErrorCode::kInvalidArgument, "read request", {},
                    std::move(detail));
}

std::string Header(const net::HttpRequest& request, std::string_view name) {
  return std::string(net::HeaderValue(request.headers, name));
}

// Splits "/v1/services/{service}/{path}".
base::Result<std::monostate> SplitPath(const net::HttpRequest& request,
                                       CallerRequest& parsed) {
  const std::string_view rest =
      std::string_view(request.path).substr(kServicesPrefix.size());
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  parsed.service = std::string(rest.substr(0, slash));
  if (!IsName(parsed.service, kMaximumNameLength))
    return Invalid("the service name must be 1 to 128 of A-Za-z0-9._:-");
  const std::string_view path = rest.substr(slash);
  parsed.path = path.empty() ? "/" : EncodePath(path);
  if (!request.query.empty())
    parsed.path += "?" + request.query;
  return std::monostate{};
}

base::Result<std::monostate> ReadDeadline(const net::HttpRequest& request,
                                          CallerRequest& parsed) {
  const std::string text = Header(request, "Wigeonstair-Deadline-Ms");
  std::int64_t deadline = kDefaultDeadlineMilliseconds;
  if (!text.empty()) {
    const auto number = ParseInteger(text, 1, kMaximumDeadlineMilliseconds);
    if (!number)
      return Invalid("Wigeonstair-Deadline-Ms must be 1 to 60000");
    deadline = *number;
  }
  parsed.time_left = std::chrono::milliseconds(deadline);
  return std::monostate{};
}

base::Result<std::monostate> ReadIdempotency(const net::HttpRequest& request,
                                             CallerRequest& parsed) {
  const std::string text = Header(request, "Wigeonstair-Idempotent");
  if (text == "true") {
    parsed.repetition = Repetition::kIdempotent;
  } else if (text == "false") {
    parsed.repetition = Repetition::kAtMostOnce;
  } else if (text.empty()) {
    const std::string_view idempotent[] = {"GET", "HEAD", "PUT", "DELETE"};
    const bool found = std::find(std::begin(idempotent), std::end(idempotent),
                                 request.method) != std::end(idempotent);
    parsed.repetition =
        found ? Repetition::kIdempotent : Repetition::kAtMostOnce;
  } else {
    return Invalid("Wigeonstair-Idempotent must be 'true' or 'false'");
  }
  return std::monostate{};
}

base::Result<std::monostate> ReadKey(const net::HttpRequest& request,
                                     std::int64_t now,
                                     CallerRequest& parsed) {
  parsed.key = Header(request, "Request-Key");
  const std::string issued = Header(request, "Request-Issued");
  const bool needed = parsed.repetition == Repetition::kAtMostOnce;
  if (!parsed.key.empty() || needed) {
    if (parsed.key.size() < kMinimumKeyLength ||
        !IsName(parsed.key, kMaximumNameLength))
      return Invalid("Request-Key must be 8 to 128 of A-Za-z0-9._:-");
  }
  if (!needed)
    return std::monostate{};
  constexpr std::int64_t kLatestTime = std::int64_t{1} << 52;
  const auto number = ParseInteger(issued, 1, kLatestTime);
  if (!number)
    return Invalid("Request-Issued must be a Unix time in milliseconds");
  parsed.issued_milliseconds = *number;
  const bool old = now - *number > kFirstSendAgeMilliseconds;
  if (old || Header(request, "Wigeonstair-Resend") == "true")
    parsed.send = SendKind::kPossibleResend;
  return std::monostate{};
}

// Prefixes each part with its length, so that different lists of parts never
// give the same hash input.
std::uint64_t Fingerprint(const CallerRequest& request) {
  std::string text;
  for (const std::string* part :
       {&request.service, &request.method, &request.path, &request.content_type,
        &request.body}) {
    text += std::to_string(part->size()) + ":";
    text += *part;
  }
  return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

}  // namespace

std::optional<std::int64_t> ParseInteger(std::string_view text,
                                         std::int64_t minimum,
                                         std::int64_t maximum) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stopped != end || number < minimum ||
      number > maximum)
    return std::nullopt;
  return number;
}

bool IsName(std::string_view text, std::size_t maximum) {
  return !text.empty() && text.size() <= maximum &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string EncodePath(std::string_view path) {
  constexpr std::string_view kUnescaped = "-._~/!$&'()*+,;=:@";
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : path) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        kUnescaped.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte / 16];
    encoded += kDigits[byte % 16];
  }
  return encoded;
}

base::Result<CallerRequest> ParseCallerRequest(net::HttpRequest request,
                                               std::string id,
                                               std::int64_t now_milliseconds) {
  CallerRequest parsed;
  parsed.id = std::move(id);
  parsed.method = request.method;
  TRY(SplitPath(request, parsed));
  parsed.customer = base::CustomerId(Header(request, "Wigeonstair-Customer"));
  if (!IsName(parsed.customer.value(), kMaximumNameLength)) {
    return Invalid(
        "Wigeonstair-Customer is required, 1 to 128 of A-Za-z0-9._:-");
  }
  TRY(ReadDeadline(request, parsed));
  TRY(ReadIdempotency(request, parsed));
  TRY(ReadKey(request, now_milliseconds, parsed));
  if (!Header(request, "Wigeonstair-Forwarded").empty()) {
    parsed.spill = routing::SpillPermission::kForbidden;
    if (Header(request, "Wigeonstair-May-Wait") != "true")
      parsed.wait = WaitPermission::kForbidden;
    const std::string forwarded = Header(request, "Wigeonstair-Request-Id");
    if (IsName(forwarded, kMaximumNameLength))
      parsed.id = forwarded;
  }
  parsed.content_type = Header(request, "Content-Type");
  parsed.body = std::move(request.body);
  parsed.fingerprint = Fingerprint(parsed);
  return parsed;
}

}  // namespace wigeonstair::entry
