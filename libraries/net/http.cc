#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <cstdio>

namespace wigeonstair::net {

namespace {

char Lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

int HexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower = Lower(c);
  if (lower >= 'a' && lower <= 'f')
    return lower - 'a' + 10;
  return -1;
}

std::string DecodeQueryPart(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+') {
      decoded += ' ';
      continue;
    }
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        HexValue(text[i + 1]) >= 0 &&
                        HexValue(text[i + 2]) >= 0;
    if (!escape) {
      decoded += text[i];
      continue;
    }
    decoded +=
        static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
    i += 2;
  }
  return decoded;
}

void AppendJsonString(std::string& output, std::string_view text) {
  output += '"';
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      output += '\\';
      output += c;
    } else if (byte < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\u%04x",
                    static_cast<unsigned>(byte));
      output += escaped;
    } else {
      output += c;
    }
  }
  output += '"';
}

}  // namespace

bool HeaderNameLess::operator()(std::string_view left,
                                std::string_view right) const {
  return std::lexicographical_compare(
      left.begin(), left.end(), right.begin(), right.end(),
      [](char a, char b) { return Lower(a) < Lower(b); });
}

std::string_view HeaderValue(const HttpHeaders& headers,
                             std::string_view name) {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string_view() : found->second;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> parameters;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value =
        equals < pair.size() ? pair.substr(equals + 1) : std::string_view();
    if (equals > 0)
      parameters[DecodeQueryPart(pair.substr(0, equals))] =
          DecodeQueryPart(value);
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return parameters;
}

HttpResponse ErrorResponse(int status, const base::Error& error) {
  std::string body = R"({"error":{"code":)";
  AppendJsonString(body, base::ErrorCodeName(error.code));
  body += R"(,"step":)";
  AppendJsonString(body, error.step);
  body += R"(,"peer":)";
  AppendJsonString(body, error.peer);
  body += R"(,"detail":)";
  AppendJsonString(body, error.detail);
  body += "}}";
  return HttpResponse{.status = status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = std::move(body)};
}

int StatusOf(base::ErrorCode code) {
  switch (code) {
    case base::ErrorCode::kInvalidArgument:
      return 400;
    case base::ErrorCode::kNotFound:
      return 404;
    case base::ErrorCode::kConflict:
      return 409;
    case base::ErrorCode::kUnavailable:
      return 503;
    case base::ErrorCode::kTimeout:
      return 504;
    case base::ErrorCode::kResourceLimit:
      return 429;
    case base::ErrorCode::kPermissionDenied:
      return 403;
    case base::ErrorCode::kCorruptData:
    case base::ErrorCode::kInputOutput:
    case base::ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

}  // namespace wigeonstair::net
