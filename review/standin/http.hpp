// A small HTTP/1.1 client and server on plain sockets, for the stand-ins of the
// review.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_HTTP_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_HTTP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace review {

struct Address {
  std::string ip;
  std::uint16_t port = 0;

  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

struct Request {
  std::string method;
  std::string path;
  // Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
};

// Status 0 means that no complete answer arrived in time.
struct Response {
  int status = 0;
  std::string body;
};

// Sends one request on a new channel and closes it after the answer, or after
// `timeout_ms` without one.
Response Send(const Address& to,
              const std::string& method,
              const std::string& path,
              const std::vector<std::string>& headers,
              const std::string& body,
              int timeout_ms);

// Answers requests for ever, with a thread for each channel. A response with
// status 0 is not sent. Returns only if the address cannot be used.
void Serve(const Address& at, std::function<Response(const Request&)> handler);

// Ends the channels that Serve() has accepted, as a crash does: by resets, or
// silently, so that only a peer that sends on one again finds it reset.
void EndChannels(bool silently);

// Whether the address is free.
bool IsFree(const Address& address);

// The value of a field of a flat JSON object; empty when it is not there.
std::string TextField(const std::string& json, const std::string& name);
std::uint64_t NumberField(const std::string& json, const std::string& name);

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_HTTP_HPP_
