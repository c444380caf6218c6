#include "net/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <exception>

namespace wigeonstair::net {

namespace {

namespace asio = boost::asio;

using boost::system::error_code;

constexpr std::size_t kSmallBufferBytes = 2UL * 1024;
constexpr std::size_t kLargeBufferBytes = 16UL * 1024;
// What OpenSSL holds for a connection.
constexpr std::size_t kTlsBytes = 48UL * 1024;
constexpr std::size_t kLingerBytes = 256UL * 1024;
constexpr base::Duration kLingerTime = std::chrono::seconds(2);
// A peer that has not taken its answer after this time may lose it.
constexpr base::Duration kTakeTime = std::chrono::seconds(2);
constexpr base::Duration kLogInterval = std::chrono::seconds(1);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool SameName(std::string_view left, std::string_view right) {
  return !HeaderNameLess()(left, right) && !HeaderNameLess()(right, left);
}

// The value without characters that would end its line.
std::string OneLine(std::string value) {
  std::replace_if(
      value.begin(), value.end(),
      [](char c) { return c == '\r' || c == '\n' || c == '\0'; }, ' ');
  return value;
}

std::string EncodeHead(const HttpResponse& response, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
  head += boost::beast::http::obsolete_reason(
              static_cast<boost::beast::http::status>(response.status))
              .to_string();
  head += "\r\n";
  if (!response.headers.contains("Content-Type"))
    head += "Content-Type: application/json\r\n";
  for (const auto& [name, value] : response.headers) {
    if (SameName(name, "Content-Length") || SameName(name, "Connection"))
      continue;
    head.append(name).append(": ").append(OneLine(value)).append("\r\n");
  }
  if (!keep_alive)
    head += "Connection: close\r\n";
  if (response.status != kNoContent) {
    head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  }
  return head + "\r\n";
}

Refusal Overload(std::string_view reason, std::string detail) {
  return {.status = 503, .reason = reason, .detail = std::move(detail)};
}

RequestLimits LimitsOf(const HttpServerOptions& options) {
  return {.head_bytes = options.header_limit_bytes,
          .body_bytes = options.body_limit_bytes,
          .chunk_overhead_bytes = options.chunk_overhead_limit_bytes,
          .empty_line_bytes = options.empty_line_limit_bytes};
}

}  // namespace

ServerRequests::ServerRequests(HttpServerOptions options)
    : options_(std::move(options)), limits_(LimitsOf(options_)) {}

bool ServerRequests::Begin() {
  const std::lock_guard lock(mutex_);
  if (closed_)
    return false;
  ++in_progress_;
  return true;
}

void ServerRequests::End() {
  const std::lock_guard lock(mutex_);
  if (--in_progress_ == 0)
    idle_.notify_all();
}

void ServerRequests::Close() {
  const std::lock_guard lock(mutex_);
  closed_ = true;
}

bool ServerRequests::WaitUntilIdle(const base::Duration* timeout) {
  std::unique_lock lock(mutex_);
  const auto is_idle = [this] { return in_progress_.load() == 0; };
  if (timeout != nullptr)
    return idle_.wait_for(lock, *timeout, is_idle);
  idle_.wait(lock, is_idle);
  return true;
}

void ServerRequests::Report(const std::string& peer, std::string_view reason) {
  if (options_.counters != nullptr) {
    options_.counters
        ->counter("wigeonstair_http_not_served_total{reason=\"" +
                  std::string(reason) + "\"}")
        .Add();
  }
  if (!options_.log)
    return;
  const base::Instant now = base::MonotonicClock::now();
  std::uint64_t others = 0;
  {
    const std::lock_guard lock(mutex_);
    if (now - logged_at_ < kLogInterval) {
      ++not_logged_;
      return;
    }
    logged_at_ = now;
    others = std::exchange(not_logged_, 0);
  }
  options_.log->Info(
      base::EventNumber::kHttpRejected,
      {{"peer", peer}, {"reason", reason}, {"not_logged", others}});
}

ServerConnection::ServerConnection(
    std::shared_ptr<ServerRequests> requests,
    Socket socket,
    std::shared_ptr<boost::asio::ssl::context> tls)
    : requests_(std::move(requests)),
      tls_context_(std::move(tls)),
      socket_(std::move(socket)),
      reader_(requests_->limits()),
      buffer_(kSmallBufferBytes) {
  if (tls_context_)
    tls_.emplace(socket_, *tls_context_);
}

// Without a handler of Asio or of the owner that refers to it, nothing more
// happens on it.
ServerConnection::~ServerConnection() {
  Close();
  FinishRequest();
}

void ServerConnection::Start() {
  asio::dispatch(socket_.get_executor(),
                 [self = shared_from_this()] { self->Register(); });
}

void ServerConnection::Register() {
  if (closed_)
    return;
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const auto endpoint = socket_.remote_endpoint(ignored);
  peer_ = endpoint.address().to_string(ignored);
  entry_ = requests_->connections().Add(peer_, [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self)
      return;
    self->requests_->Report(self->peer_, "dropped");
    self->RequestClose();
  });
  registered_ = true;
  if (tls_)
    Handshake();
  else
    Advance(RequestReader::State::kEmpty);
}

void ServerConnection::RequestClose() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Close(); });
}

void ServerConnection::Handshake() {
  handshaking_ = true;
  if (!Enter(ConnectionPhase::kReceiving, kTlsBytes))
    return;
  tls_->async_handshake(asio::ssl::stream_base::server,
                        [self = shared_from_this()](const error_code& error) {
                          self->handshaking_ = false;
                          if (error)
                            self->Close();
                          else
                            self->Advance(RequestReader::State::kEmpty);
                        });
}

void ServerConnection::Read() {
  if (closed_ || std::exchange(reading_, true))
    return;
  auto done = [self = shared_from_this()](const error_code& error,
                                          std::size_t count) {
    self->reading_ = false;
    self->OnRead(error, count);
  };
  if (tls_)
    tls_->async_read_some(asio::buffer(buffer_), std::move(done));
  else
    socket_.async_read_some(asio::buffer(buffer_), std::move(done));
}

void ServerConnection::OnRead(const error_code& error, std::size_t count) {
  if (closed_)
    return;
  if (phase_ != ConnectionPhase::kIdle && phase_ != ConnectionPhase::kReceiving)
    return Discard(error, count);
  if (error) {
    if (error == asio::error::eof &&
        reader_.End() == RequestReader::State::kRefused)
      return Refuse(reader_.refusal());
    return Close();
  }
  progressed_ = base::MonotonicClock::now();
  const RequestReader::State state =
      reader_.Feed(std::string_view(buffer_.data(), count));
  FitBuffer(count);
  Advance(state);
}

void ServerConnection::Discard(const error_code& error, std::size_t count) {
  discarded_ += count;
  if (phase_ != ConnectionPhase::kClosing)
    return;
  if (error || discarded_ > kLingerBytes)
    Close();
  else
    Read();
}

void ServerConnection::FitBuffer(std::size_t count) {
  if (count == buffer_.size() && count < kLargeBufferBytes) {
    buffer_.resize(kLargeBufferBytes);
  } else if (count < kSmallBufferBytes && buffer_.size() > kSmallBufferBytes) {
    buffer_.resize(kSmallBufferBytes);
    buffer_.shrink_to_fit();
  }
}

void ServerConnection::Advance(RequestReader::State state) {
  switch (state) {
    case RequestReader::State::kEmpty:
      FitBuffer(0);
      if (Enter(ConnectionPhase::kIdle, 0))
        Read();
      return;
    case RequestReader::State::kHead:
    case RequestReader::State::kBody:
      return Receive();
    case RequestReader::State::kWhole:
      return Dispatch();
    case RequestReader::State::kRefused:
      return Refuse(reader_.refusal());
  }
}

void ServerConnection::Receive() {
  if (!Enter(ConnectionPhase::kReceiving,
             reader_.bytes_held() + buffer_.size()))
    return;
  if (reader_.TakeContinue())
    SendContinue();
  else
    Read();
}

void ServerConnection::SendContinue() {
  sending_continue_ = true;
  Write(asio::buffer(kContinue),
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->sending_continue_ = false;
          if (error)
            self->Close();
          else
            self->Read();
        });
}

void ServerConnection::Dispatch() {
  FitBuffer(0);
  ReceivedRequest received = reader_.Take();
  is_head_request_ = received.request.method == "HEAD";
  keep_alive_ = received.keep_alive;
  if (!requests_->Begin())
    return Close();
  counted_ = true;
  if (requests_->in_progress() > requests_->options().concurrency_limit)
    return Refuse(Overload("requests", "too many requests in progress"));
  if (!Enter(ConnectionPhase::kAnswering, received.bytes))
    return Refuse(Overload("bytes", "too many bytes of requests in progress"));
  received.request.peer = peer_;
  handled_ = true;
  const auto respond = [self = shared_from_this()](HttpResponse response) {
    asio::dispatch(self->socket_.get_executor(),
                   [self, response = std::move(response)]() mutable {
                     self->Respond(std::move(response));
                   });
  };
  try {
    requests_->options().handler(std::move(received.request), respond);
  } catch (const std::exception& exception) {
    respond(ErrorResponse(500, {.code = base::ErrorCode::kInternal,
                                .step = "handle request",
                                .peer = peer_,
                                .detail = exception.what()}));
  }
}

void ServerConnection::Refuse(const Refusal& refusal) {
  requests_->Report(peer_, refusal.reason);
  keep_alive_ = false;
  // The method of a request that is not whole may be unknown.
  is_head_request_ = is_head_request_ && counted_;
  Send(ErrorResponse(refusal.status, {.code = base::ErrorCode::kInvalidArgument,
                                      .step = "receive request",
                                      .peer = peer_,
                                      .detail = refusal.detail}));
}

void ServerConnection::Respond(HttpResponse response) {
  if (!std::exchange(handled_, false))
    return;
  if (SameName(HeaderValue(response.headers, "Connection"), "close"))
    keep_alive_ = false;
  Send(std::move(response));
}

void ServerConnection::Send(HttpResponse response) {
  head_ = EncodeHead(response, keep_alive_);
  const bool has_body = !is_head_request_ && response.status != kNoContent &&
                        response.status != kNotModified;
  body_ = has_body ? std::move(response.body) : std::string();
  if (closed_ || !Enter(ConnectionPhase::kSending, body_.size())) {
    FinishRequest();
    return Close();
  }
  if (tls_)
    return SendRest(0);
  // Most answers fit into the socket's buffer and need no timer.
  error_code error;
  const std::size_t sent =
      socket_.write_some(std::array{asio::const_buffer(asio::buffer(head_)),
                                    asio::const_buffer(asio::buffer(body_))},
                         error);
  if (error == asio::error::would_block)
    error = {};
  if (!error && sent < head_.size() + body_.size())
    return SendRest(sent);
  // Not called from here, since requests that arrived together would nest.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), error] { self->OnSent(error); });
}

void ServerConnection::SendRest(std::size_t sent) {
  ArmTimer();
  const std::size_t head_sent = std::min(sent, head_.size());
  Write(
      std::array{asio::const_buffer(asio::buffer(head_)) + head_sent,
                 asio::const_buffer(asio::buffer(body_)) + (sent - head_sent)},
      [self = shared_from_this()](const error_code& error, std::size_t) {
        self->OnSent(error);
      });
}

void ServerConnection::OnSent(const error_code& error) {
  head_ = std::string();
  body_ = std::string();
  if (error || closed_)
    Close();
  else if (!keep_alive_)
    Linger();
  // The process may end once nothing is in progress.
  FinishRequest();
  if (!closed_ && keep_alive_)
    Advance(reader_.Feed({}));
}

void ServerConnection::Linger() {
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  if (Enter(ConnectionPhase::kClosing, 0))
    Read();
}

void ServerConnection::Close() {
  if (std::exchange(closed_, true))
    return;
  if (timer_)
    HttpTimers::Shared().Cancel(*timer_);
  error_code ignored;
  socket_.close(ignored);
  if (registered_)
    requests_->connections().Remove(entry_);
}

void ServerConnection::FinishRequest() {
  if (std::exchange(counted_, false))
    requests_->End();
}

bool ServerConnection::Enter(ConnectionPhase phase, std::size_t bytes) {
  if (closed_)
    return false;
  if (phase != phase_ || phase == ConnectionPhase::kIdle) {
    phase_began_ = base::MonotonicClock::now();
    progressed_ = phase_began_;
  }
  phase_ = phase;
  if (phase != ConnectionPhase::kSending)
    ArmTimer();
  return requests_->connections().Change(entry_, phase,
                                         bytes + (tls_ ? kTlsBytes : 0));
}

std::optional<base::Instant> ServerConnection::Deadline() const {
  const HttpServerOptions& options = requests_->options();
  switch (phase_) {
    case ConnectionPhase::kIdle:
      return phase_began_ + options.idle_timeout;
    case ConnectionPhase::kReceiving: {
      const base::Instant whole = phase_began_ + options.receive_timeout;
      return std::min(whole, reader_.state() == RequestReader::State::kBody
                                 ? progressed_ + options.stall_timeout
                                 : phase_began_ + options.head_timeout);
    }
    case ConnectionPhase::kAnswering:
      return std::nullopt;
    case ConnectionPhase::kSending:
      return phase_began_ + std::min(kTakeTime, options.send_timeout);
    case ConnectionPhase::kStalled:
      return phase_began_ + options.send_timeout;
    case ConnectionPhase::kClosing:
      return phase_began_ + kLingerTime;
  }
  return std::nullopt;
}

// A timer that is due too early is left alone and set again when it fires, so
// that most requests set none.
void ServerConnection::ArmTimer() {
  const std::optional<base::Instant> due = Deadline();
  if (!due || (timer_ && timer_due_ <= *due))
    return;
  if (timer_)
    HttpTimers::Shared().Cancel(*timer_);
  timer_due_ = *due;
  const base::Duration delay =
      std::max(base::Duration(0), *due - base::MonotonicClock::now());
  timer_ = HttpTimers::Shared().Start(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      asio::post(self->socket_.get_executor(), [self] { self->OnTimer(); });
    }
  });
}

void ServerConnection::OnTimer() {
  if (closed_)
    return;
  timer_.reset();
  const std::optional<base::Instant> due = Deadline();
  if (!due)
    return;
  if (base::MonotonicClock::now() < *due)
    return ArmTimer();
  if (phase_ == ConnectionPhase::kSending) {
    Enter(ConnectionPhase::kStalled, body_.size());
    return;
  }
  if (phase_ == ConnectionPhase::kStalled)
    requests_->Report(peer_, "send_time");
  if (phase_ != ConnectionPhase::kReceiving || handshaking_ ||
      sending_continue_)
    return Close();
  Refuse({.status = 408,
          .reason = "time",
          .detail = "the request was not received in time"});
}

template <class Buffers, class Handler>
void ServerConnection::Write(const Buffers& buffers, Handler handler) {
  if (tls_)
    asio::async_write(*tls_, buffers, std::move(handler));
  else
    asio::async_write(socket_, buffers, std::move(handler));
}

}  // namespace wigeonstair::net
