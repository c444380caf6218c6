#include "net/http_connection.h"

// Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <pplx/threadpool.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdint>
#include <optional>

#include "net/http_timers.h"

namespace wigeonstair::net {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace

// All but `open` is used on the strand only.
struct HttpConnection::Implementation
    : std::enable_shared_from_this<HttpConnection::Implementation> {
  explicit Implementation(HttpConnectionOptions connection_options)
      : options(std::move(connection_options)),
        strand(asio::make_strand(
            crossplat::threadpool::shared_instance().service())),
        socket(strand) {}

  void Begin(HttpCall next, std::function<void(HttpOutcome)> callback);
  void Expire(std::uint64_t number);
  void Connect();
  void Write();
  void Read();
  void Finish(const boost::system::error_code& error);
  void Report(HttpOutcome outcome);
  base::Error Failure(base::ErrorCode code, std::string detail) const;

  const HttpConnectionOptions options;
  asio::strand<asio::io_context::executor_type> strand;
  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  HttpCall call;
  std::function<void(HttpOutcome)> done;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  HttpTimers::Id deadline;
  std::uint64_t calls = 0;
  // Bytes of the call may have reached the peer.
  bool sent = false;
  bool used = false;
  std::atomic<bool> open{false};
};

base::Error HttpConnection::Implementation::Failure(base::ErrorCode code,
                                                    std::string detail) const {
  return {.code = code,
          .step = call.method + " " + call.path,
          .peer = options.address,
          .detail = std::move(detail)};
}

void HttpConnection::Implementation::Begin(
    HttpCall next,
    std::function<void(HttpOutcome)> callback) {
  call = std::move(next);
  done = std::move(callback);
  sent = false;
  request = {http::string_to_verb(call.method), call.path, kHttp11,
             std::move(call.body)};
  request.set(http::field::host, options.address);
  for (const auto& [name, value] : call.headers)
    request.set(name, value);
  request.prepare_payload();
  deadline = HttpTimers::Shared().Start(
      call.timeout, [weak = weak_from_this(), number = ++calls] {
        if (const auto self = weak.lock())
          asio::post(self->strand, [self, number] { self->Expire(number); });
      });
  if (!std::exchange(used, true))
    return Connect();
  if (!open.exchange(false)) {
    return Report(HttpNotSent{
        Failure(base::ErrorCode::kUnavailable, "the connection is closed")});
  }
  Write();
}

void HttpConnection::Implementation::Expire(std::uint64_t number) {
  // A timer that is cancelled while it fires may be late.
  if (!done || number != calls)
    return;
  base::Error error = Failure(base::ErrorCode::kTimeout,
                              "no complete answer within the time limit");
  Report(sent ? HttpOutcome(HttpLost{.error = std::move(error)})
              : HttpOutcome(HttpNotSent{.error = std::move(error)}));
}

void HttpConnection::Implementation::Connect() {
  const auto endpoint = ParseEndpoint(options.address);
  if (!endpoint) {
    return Report(HttpNotSent{Failure(base::ErrorCode::kInvalidArgument,
                                      "the address is not ip:port")});
  }
  socket.async_connect(*endpoint, [self = shared_from_this()](
                                      const boost::system::error_code& error) {
    if (!self->done)
      return;
    if (error) {
      self->Report(HttpNotSent{
          self->Failure(base::ErrorCode::kUnavailable, error.message())});
      return;
    }
    boost::system::error_code ignored;
    self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

void HttpConnection::Implementation::Write() {
  sent = true;
  http::async_write(socket, request,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, std::size_t) {
                      if (!self->done)
                        return;
                      if (error)
                        return self->Finish(error);
                      self->Read();
                    });
}

void HttpConnection::Implementation::Read() {
  parser.emplace();
  parser->body_limit(options.answer_limit_bytes);
  http::async_read(socket, buffer, *parser,
                   [self = shared_from_this()](
                       const boost::system::error_code& error, std::size_t) {
                     if (self->done)
                       self->Finish(error);
                   });
}

void HttpConnection::Implementation::Finish(
    const boost::system::error_code& error) {
  if (error) {
    return Report(HttpLost{Failure(error == http::error::body_limit
                                       ? base::ErrorCode::kResourceLimit
                                       : base::ErrorCode::kUnavailable,
                                   error.message())});
  }
  http::response<http::string_body> received = parser->release();
  HttpResponse response{.status = static_cast<int>(received.result_int()),
                        .body = std::move(received.body())};
  for (const auto& field : received) {
    response.headers[std::string(field.name_string())] =
        std::string(field.value());
  }
  // Bytes behind the answer belong to no call of ours.
  open = received.keep_alive() && buffer.size() == 0;
  Report(HttpAnswer{.response = std::move(response)});
}

void HttpConnection::Implementation::Report(HttpOutcome outcome) {
  HttpTimers::Shared().Cancel(deadline);
  if (!open) {
    boost::system::error_code ignored;
    socket.close(ignored);
  }
  const auto callback = std::exchange(done, {});
  callback(std::move(outcome));
}

HttpConnection::HttpConnection(HttpConnectionOptions options)
    : implementation_(std::make_shared<Implementation>(std::move(options))) {}

HttpConnection::~HttpConnection() = default;

void HttpConnection::Send(HttpCall call,
                          std::function<void(HttpOutcome)> done) {
  asio::post(implementation_->strand,
             [implementation = implementation_, call = std::move(call),
              done = std::move(done)]() mutable {
               implementation->Begin(std::move(call), std::move(done));
             });
}

bool HttpConnection::IsOpen() const {
  return implementation_->open;
}

}  // namespace wigeonstair::net
