#include "net/http_client.h"

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_timers.h"

namespace wigeonstair::net {

namespace {

using web::http::client::http_client;
using web::http::client::http_client_config;

// The texts with which cpprestsdk 2.10 reports a failure before it wrote any
// byte. Its error codes do not tell this apart from a broken pipe; tests hold
// both cases against the installed library.
constexpr std::string_view kConnectFailures[] = {
    "Failed to connect to any resolved endpoint", "Error resolving address"};

// cpprestsdk writes the request only after the handshake.
constexpr std::string_view kHandshakeFailure = "Error in SSL handshake";

// The texts for a kept connection that was closed, before or after the peer
// received the request. The second one comes from new connections as well.
constexpr std::string_view kConnectionClosed[] = {
    "cannot rewind input stream", "Failed to write request headers"};

// The connection was closed before the first byte of an answer.
constexpr std::string_view kNoAnswer = "Failed to read HTTP status line";

bool StartsWithOneOf(std::string_view text,
                     std::span<const std::string_view> beginnings) {
  return std::ranges::any_of(beginnings, [&](std::string_view beginning) {
    return text.starts_with(beginning);
  });
}

base::Error ClientError(const HttpCall& call,
                        base::ErrorCode code,
                        std::string detail) {
  return base::Error{.code = code,
                     .step = call.method + " " + call.path,
                     .peer = call.address,
                     .detail = std::move(detail)};
}

// One call: the outcome that comes first (answer, failure or deadline) is
// reported, later ones are dropped.
struct PendingCall {
  HttpCall call;
  std::function<void(HttpOutcome)> done;
  std::atomic<bool> reported{false};
  pplx::cancellation_token_source cancellation;
  HttpTimers::Id deadline;
  // An earlier copy of the request may have reached the peer.
  std::atomic<bool> may_be_repeated{false};

  // Whether the caller may report the outcome.
  bool Claim() { return !reported.exchange(true); }

  void Report(HttpOutcome outcome) {
    if (Claim())
      done(std::move(outcome));
  }
};

std::string BaseUri(const HttpCall& call) {
  return call.scheme + "://" + call.address;
}

// A body that can be read once only: cpprestsdk would read another again to
// repeat the request unseen.
concurrency::streams::istream BodyStream(const std::string& body) {
  concurrency::streams::producer_consumer_buffer<std::uint8_t> buffer(
      body.size());
  std::ranges::copy(body, buffer.alloc(body.size()));
  buffer.commit(body.size());
  // Completes at once; a wait would block a thread that other calls need.
  buffer.close(std::ios_base::out);
  return buffer.create_istream();
}

web::http::http_request ConvertCall(const HttpCall& call) {
  web::http::http_request request(call.method);
  request.set_request_uri(web::uri(call.path));
  if (!call.body.empty())
    request.set_body(BodyStream(call.body), call.body.size());
  for (const auto& [name, value] : call.headers)
    request.headers()[name] = value;
  return request;
}

HttpLost Lost(const PendingCall& pending, base::Error error) {
  return {.error = std::move(error),
          .may_be_repeated = pending.may_be_repeated};
}

void StartDeadline(const std::shared_ptr<PendingCall>& pending) {
  pending->deadline =
      HttpTimers::Shared().Start(pending->call.timeout, [pending] {
        // Claimed before the outcome is built: no repeat begins after that.
        if (pending->Claim()) {
          pending->done(
              Lost(*pending,
                   ClientError(pending->call, base::ErrorCode::kTimeout,
                               "no complete answer within the time limit")));
        }
        pending->cancellation.cancel();
      });
}

HttpOutcome ConvertFailure(const PendingCall& pending,
                           const std::exception& exception) {
  const HttpCall& call = pending.call;
  const std::string text = exception.what();
  base::Error error = ClientError(call, base::ErrorCode::kUnavailable, text);
  if (StartsWithOneOf(text, kConnectFailures) && !pending.may_be_repeated)
    return HttpNotSent{std::move(error)};
  if (text.starts_with(kHandshakeFailure) && !pending.may_be_repeated) {
    error.detail =
        "no TLS connection, nothing was sent: the peer's certificate is not "
        "trusted or not valid for this address, or the peer serves plain HTTP "
        "(" +
        text + ")";
    return HttpNotSent{std::move(error)};
  }
  if (call.scheme == "http" && text.starts_with(kNoAnswer)) {
    error.detail =
        "the connection was closed without an answer; a peer that serves HTTPS "
        "does this to plain HTTP (" +
        text + ")";
  }
  return Lost(pending, std::move(error));
}

HttpOutcome ConvertAnswer(const PendingCall& pending,
                          const web::http::http_response& response,
                          const std::vector<unsigned char>& body,
                          std::size_t limit) {
  const HttpCall& call = pending.call;
  if (body.size() > limit) {
    return Lost(pending, ClientError(call, base::ErrorCode::kResourceLimit,
                                     "the answer is larger than the limit"));
  }
  HttpResponse converted;
  converted.status = response.status_code();
  for (const auto& [name, value] : response.headers())
    converted.headers[name] = value;
  converted.body.assign(body.begin(), body.end());
  const bool has_body = call.method != "HEAD" && converted.status != 204 &&
                        converted.status != 304;
  if (has_body && response.headers().has("Content-Length") &&
      response.headers().content_length() != body.size()) {
    return Lost(pending, ClientError(call, base::ErrorCode::kCorruptData,
                                     "the answer is shorter than its length"));
  }
  return HttpAnswer{.response = std::move(converted),
                    .may_be_repeated = pending.may_be_repeated};
}

}  // namespace

struct HttpClient::Implementation
    : std::enable_shared_from_this<HttpClient::Implementation> {
  HttpClientOptions options;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<http_client>> clients;

  std::shared_ptr<http_client> NewClient(const std::string& base_uri) const;
  // Notes whether the library may repeat the request.
  std::shared_ptr<http_client> ClientFor(PendingCall& pending);
  void Run(const std::shared_ptr<PendingCall>& pending);
  // Sends the request once more when the connection that `used` took had been
  // closed. Returns whether it did.
  bool Repeat(const std::shared_ptr<PendingCall>& pending,
              const std::shared_ptr<http_client>& used,
              const std::exception& failure);
};

std::shared_ptr<http_client> HttpClient::Implementation::NewClient(
    const std::string& base_uri) const {
  http_client_config config;
  // A redirect would send the request to a second place unseen.
  config.set_max_redirects(0);
  // The deadline of each call is kept here; this only bounds leaked calls.
  config.set_timeout(std::chrono::seconds(120));
  if (!options.trusted_certificates.empty()) {
    config.set_ssl_context_callback([file = options.trusted_certificates](
                                        boost::asio::ssl::context& context) {
      boost::system::error_code ignored;
      context.load_verify_file(file, ignored);
    });
  }
  return std::make_shared<http_client>(base_uri, config);
}

std::shared_ptr<http_client> HttpClient::Implementation::ClientFor(
    PendingCall& pending) {
  const HttpCall& call = pending.call;
  const std::string base_uri = BaseUri(call);
  // A new client has no kept connections.
  if (call.reuse == ConnectionReuse::kFresh)
    return NewClient(base_uri);
  std::lock_guard lock(mutex);
  std::shared_ptr<http_client>& client = clients[base_uri];
  if (client && call.body.empty())
    pending.may_be_repeated = true;
  if (!client)
    client = NewClient(base_uri);
  return client;
}

void HttpClient::Implementation::Run(
    const std::shared_ptr<PendingCall>& pending) {
  const std::size_t limit = options.answer_limit_bytes;
  std::shared_ptr<http_client> client = ClientFor(*pending);
  auto response = std::make_shared<web::http::http_response>();
  client->request(ConvertCall(pending->call), pending->cancellation.get_token())
      .then([response, limit](const web::http::http_response& received) {
        *response = received;
        if (received.headers().content_length() > limit)
          throw std::length_error("the answer is larger than the limit");
        return response->extract_vector();
      })
      .then([weak = weak_from_this(), pending, client, response,
             limit](const pplx::task<std::vector<unsigned char>>& body) {
        std::optional<HttpOutcome> outcome;
        try {
          outcome = ConvertAnswer(*pending, *response, body.get(), limit);
        } catch (const std::exception& exception) {
          const std::shared_ptr<Implementation> self = weak.lock();
          if (self && self->Repeat(pending, client, exception))
            return;
          outcome = ConvertFailure(*pending, exception);
        }
        HttpTimers::Shared().Cancel(pending->deadline);
        pending->Report(std::move(*outcome));
      });
}

bool HttpClient::Implementation::Repeat(
    const std::shared_ptr<PendingCall>& pending,
    const std::shared_ptr<http_client>& used,
    const std::exception& failure) {
  const HttpCall& call = pending->call;
  if (call.reuse == ConnectionReuse::kFresh ||
      !StartsWithOneOf(failure.what(), kConnectionClosed) ||
      pending->may_be_repeated.exchange(true) || pending->reported) {
    return false;
  }
  // The other connections that `used` keeps are probably closed too.
  {
    std::lock_guard lock(mutex);
    const auto kept = clients.find(BaseUri(call));
    if (kept != clients.end() && kept->second == used)
      clients.erase(kept);
  }
  try {
    Run(pending);
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

HttpClient::HttpClient(HttpClientOptions options)
    : implementation_(std::make_shared<Implementation>()) {
  implementation_->options = std::move(options);
}

HttpClient::~HttpClient() = default;

void HttpClient::Send(HttpCall call, std::function<void(HttpOutcome)> done) {
  auto pending = std::make_shared<PendingCall>();
  pending->call = std::move(call);
  pending->done = std::move(done);
  StartDeadline(pending);
  try {
    implementation_->Run(pending);
  } catch (const std::exception& exception) {
    // The call could not be built, for example from a malformed path.
    HttpTimers::Shared().Cancel(pending->deadline);
    pending->Report(HttpNotSent{ClientError(
        pending->call, base::ErrorCode::kInvalidArgument, exception.what())});
  }
}

HttpOutcome HttpClient::SendAndWait(HttpCall call) {
  auto promise = std::make_shared<std::promise<HttpOutcome>>();
  std::future<HttpOutcome> outcome = promise->get_future();
  Send(std::move(call), [promise](HttpOutcome result) {
    promise->set_value(std::move(result));
  });
  return outcome.get();
}

void HttpClient::Forget(const std::string& address) {
  std::lock_guard lock(implementation_->mutex);
  implementation_->clients.erase("http://" + address);
  implementation_->clients.erase("https://" + address);
}

}  // namespace wigeonstair::net
