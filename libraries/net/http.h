#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_H_

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "base/error.h"

namespace wigeonstair::net {

// Orders header names without regard to case.
struct HeaderNameLess {
  using is_transparent = void;
  bool operator()(std::string_view left, std::string_view right) const;
};

using HttpHeaders = std::map<std::string, std::string, HeaderNameLess>;

// Returns the header's value, or an empty text when it is absent.
std::string_view HeaderValue(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  // Decoded path without the query, such as "/v1/jobs".
  std::string path;
  // Raw query, without the question mark.
  std::string query;
  HttpHeaders headers;
  std::string body;
  // "ip" of the peer.
  std::string peer;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// Sends the answer; called exactly once, from any thread.
using HttpResponder = std::function<void(HttpResponse)>;

// May answer later through the responder, but must not block for long.
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

// A complete answer: the whole body arrived.
struct HttpAnswer {
  HttpResponse response;
  // More than one copy of the request may have reached the peer.
  bool may_be_repeated = false;
};

// No byte of the request can have reached the peer.
struct HttpNotSent {
  base::Error error;
};

// The request or a part of it may have reached the peer, and no complete
// answer came back.
struct HttpLost {
  base::Error error;
  // More than one copy of the request may have reached the peer.
  bool may_be_repeated = false;
};

using HttpOutcome = std::variant<HttpAnswer, HttpNotSent, HttpLost>;

// The parameters of a query, decoded.
std::map<std::string, std::string> ParseQuery(std::string_view query);

// A response with a JSON error body as docs/api.md describes.
HttpResponse ErrorResponse(int status, const base::Error& error);

// The HTTP status that fits an error code.
int StatusOf(base::ErrorCode code);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_H_
