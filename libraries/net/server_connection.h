#ifndef WIGEONSTAIR_LIBRARIES_NET_SERVER_CONNECTION_H_
#define WIGEONSTAIR_LIBRARIES_NET_SERVER_CONNECTION_H_

// Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/strand.hpp>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/connection_table.h"
#include "net/http_server.h"
#include "net/http_timers.h"
#include "net/request_reader.h"

namespace wigeonstair::net {

// What the connections of one HTTP server share. Thread-safe.
class ServerRequests {
 public:
  explicit ServerRequests(HttpServerOptions options);

  const HttpServerOptions& options() const { return options_; }
  const RequestLimits& limits() const { return limits_; }
  ConnectionTable& connections() const { return *options_.connections; }

  // A whole request was received; false when the server is being destroyed.
  bool Begin();
  // It was answered, or can no longer be.
  void End();
  int in_progress() const { return in_progress_.load(); }
  // Requests are no longer handed over.
  void Close();
  // Null waits without a limit.
  bool WaitUntilIdle(const base::Duration* timeout);
  // Counts and logs what was not served.
  void Report(const std::string& peer, std::string_view reason);

 private:
  const HttpServerOptions options_;
  const RequestLimits limits_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::atomic<int> in_progress_{0};
  bool closed_ = false;
  base::Instant logged_at_{};
  std::uint64_t not_logged_ = 0;
};

// One connection of a peer: reads requests one after the other, hands each to
// the handler and sends its answer. While a request is answered, nothing is
// read. The private members run on the strand of the
// socket.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Strand>;

  // `tls` is null for plain HTTP.
  ServerConnection(std::shared_ptr<ServerRequests> requests,
                   Socket socket,
                   std::shared_ptr<boost::asio::ssl::context> tls);
  ~ServerConnection();
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Both from any thread.
  void Start();
  // Cuts a request in progress.
  void RequestClose();

 private:
  void Register();
  void Handshake();
  void Read();
  void OnRead(const boost::system::error_code& error, std::size_t count);
  void Discard(const boost::system::error_code& error, std::size_t count);
  void FitBuffer(std::size_t count);
  void Advance(RequestReader::State state);
  void Receive();
  void SendContinue();
  void Dispatch();
  void Refuse(const Refusal& refusal);
  void Respond(HttpResponse response);
  void Send(HttpResponse response);
  // Sends the answer but for its first bytes.
  void SendRest(std::size_t sent);
  void OnSent(const boost::system::error_code& error);
  // Ends the own side and reads what the peer still sends, since closing with
  // unread bytes would take the answer from the peer.
  void Linger();
  void Close();
  void FinishRequest();
  bool Enter(ConnectionPhase phase, std::size_t bytes);

  std::optional<base::Instant> Deadline() const;
  void ArmTimer();
  void OnTimer();

  template <class Buffers, class Handler>
  void Write(const Buffers& buffers, Handler handler);

  const std::shared_ptr<ServerRequests> requests_;
  const std::shared_ptr<boost::asio::ssl::context> tls_context_;
  Socket socket_;
  std::optional<boost::asio::ssl::stream<Socket&>> tls_;
  std::string peer_;
  ConnectionTable::Handle entry_;
  ConnectionPhase phase_ = ConnectionPhase::kIdle;
  RequestReader reader_;
  std::vector<char> buffer_;
  std::string head_;
  std::string body_;
  base::Instant phase_began_{};
  base::Instant progressed_{};
  std::optional<HttpTimers::Id> timer_;
  base::Instant timer_due_{};
  std::size_t discarded_ = 0;
  bool registered_ = false;
  bool handshaking_ = false;
  bool reading_ = false;
  bool sending_continue_ = false;
  // A request counts as in progress.
  bool counted_ = false;
  // The handler has the request and has not answered.
  bool handled_ = false;
  bool is_head_request_ = false;
  bool keep_alive_ = false;
  bool closed_ = false;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_SERVER_CONNECTION_H_
