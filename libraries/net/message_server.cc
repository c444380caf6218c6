#include "net/message_server.h"

#include <array>
#include <deque>
#include <set>

#include "net/frame.h"
#include "net/loop_object.h"

namespace wigeonstair::net {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kReadBytes = 64UL * 1024;
// Answers that wait for a peer that does not read; above this the connection
// is closed.
constexpr std::size_t kAnswerQueueBytes = 64UL * 1024 * 1024;
constexpr base::Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

}  // namespace

struct MessageServer::Implementation : LoopObject {
  struct Connection {
    Connection(tcp::socket peer_socket,
               std::uint64_t cluster,
               std::size_t frame_limit_bytes)
        : socket(std::move(peer_socket)), reader(cluster, frame_limit_bytes) {}

    tcp::socket socket;
    FrameReader reader;
    std::array<char, kReadBytes> read_buffer{};
    std::deque<std::string> answers;
    std::size_t answer_bytes = 0;
    bool open = true;
    bool writing = false;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;

  Implementation(EventLoop& loop, MessageServerOptions server_options)
      : LoopObject(loop),
        options(std::move(server_options)),
        cluster(ClusterFingerprint(options.cluster)),
        acceptor(context()),
        accept_timer(context()) {}

  error_code Listen(const tcp::endpoint& endpoint);
  void Accept();
  void Accepted(const error_code& error, tcp::socket socket);
  void Read(const ConnectionPointer& connection);
  void Received(const ConnectionPointer& connection, std::size_t size);
  void Handle(const ConnectionPointer& connection, Frame frame);
  void Answer(const ConnectionPointer& connection, std::string bytes);
  void Write(const ConnectionPointer& connection);
  void Drop(const ConnectionPointer& connection);
  void DropAll();

  const MessageServerOptions options;
  const std::uint64_t cluster;
  Address address;
  std::atomic<std::uint64_t> refused_frames = 0;

  tcp::acceptor acceptor;
  boost::asio::steady_timer accept_timer;
  std::set<ConnectionPointer> connections;
};

error_code MessageServer::Implementation::Listen(
    const tcp::endpoint& endpoint) {
  error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error)
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    acceptor.bind(endpoint, error);
  if (!error)
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (!error)
    address = ToAddress(acceptor.local_endpoint(error));
  return error;
}

void MessageServer::Implementation::Accept() {
  acceptor.async_accept(
      context(), Guard([this](const error_code& error, tcp::socket socket) {
        Accepted(error, std::move(socket));
      }));
}

void MessageServer::Implementation::Accepted(const error_code& error,
                                             tcp::socket socket) {
  if (error) {
    // Out of file descriptors, for example; trying at once would spin.
    accept_timer.expires_after(kAcceptRetryDelay);
    accept_timer.async_wait(Guard([this](const error_code& cancelled) {
      if (!cancelled)
        Accept();
    }));
    return;
  }
  if (connections.size() < static_cast<std::size_t>(options.connection_limit)) {
    TuneConnection(socket);
    auto connection = std::make_shared<Connection>(std::move(socket), cluster,
                                                   options.frame_limit_bytes);
    connections.insert(connection);
    Read(connection);
  }
  Accept();
}

void MessageServer::Implementation::Read(const ConnectionPointer& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->read_buffer),
      Guard([this, connection](const error_code& error, std::size_t size) {
        if (error)
          Drop(connection);
        else
          Received(connection, size);
      }));
}

void MessageServer::Implementation::Received(
    const ConnectionPointer& connection,
    std::size_t size) {
  connection->reader.Append(
      std::string_view(connection->read_buffer.data(), size));
  while (connection->open) {
    auto next = connection->reader.Next();
    if (std::holds_alternative<NeedMoreBytes>(next))
      return Read(connection);
    Frame* frame = std::get_if<Frame>(&next);
    if (frame == nullptr || frame->kind == FrameKind::kAnswer) {
      ++refused_frames;
      return Drop(connection);
    }
    Handle(connection, std::move(*frame));
    if (closed())
      return;
  }
}

void MessageServer::Implementation::Handle(const ConnectionPointer& connection,
                                           Frame frame) {
  if (frame.kind == FrameKind::kOneWay) {
    options.handler(frame.type, std::move(frame.body),
                    [](const std::string&) {});
    return;
  }
  MessageReply reply =
      // Weak, because a socket must not outlive the loop.
      [weak_self = weak_from_this(),
       weak_connection = std::weak_ptr<Connection>(connection),
       type = frame.type, call = frame.call](std::string body) {
        const auto self =
            std::static_pointer_cast<Implementation>(weak_self.lock());
        if (!self)
          return;
        std::string bytes =
            EncodeFrame(self->cluster, Frame{.type = type,
                                             .kind = FrameKind::kAnswer,
                                             .call = call,
                                             .body = std::move(body)});
        self->Run([raw = self.get(), weak_connection,
                   bytes = std::move(bytes)]() mutable {
          if (const auto target = weak_connection.lock())
            raw->Answer(target, std::move(bytes));
        });
      };
  options.handler(frame.type, std::move(frame.body), std::move(reply));
}

void MessageServer::Implementation::Answer(const ConnectionPointer& connection,
                                           std::string bytes) {
  if (!connection->open)
    return;
  connection->answer_bytes += bytes.size();
  if (connection->answer_bytes > kAnswerQueueBytes)
    return Drop(connection);
  connection->answers.push_back(std::move(bytes));
  Write(connection);
}

void MessageServer::Implementation::Write(const ConnectionPointer& connection) {
  if (connection->writing || connection->answers.empty())
    return;
  connection->writing = true;
  auto bytes = std::make_shared<const std::string>(
      std::move(connection->answers.front()));
  connection->answers.pop_front();
  connection->answer_bytes -= bytes->size();
  boost::asio::async_write(
      connection->socket, boost::asio::buffer(*bytes),
      Guard([this, connection, bytes](const error_code& error, std::size_t) {
        connection->writing = false;
        if (error)
          Drop(connection);
        else
          Write(connection);
      }));
}

void MessageServer::Implementation::Drop(const ConnectionPointer& connection) {
  error_code ignored;
  connection->open = false;
  connection->socket.close(ignored);
  connections.erase(connection);
}

void MessageServer::Implementation::DropAll() {
  error_code ignored;
  acceptor.close(ignored);
  accept_timer.cancel();
  while (!connections.empty())
    Drop(ConnectionPointer(*connections.begin()));
}

base::Result<std::unique_ptr<MessageServer>> MessageServer::create(
    EventLoop& loop,
    MessageServerOptions options) {
  const tcp::endpoint endpoint = TRY(ToEndpoint<tcp>(options.address));
  const std::string peer = options.address.ToString();
  auto implementation =
      std::make_shared<Implementation>(loop, std::move(options));
  const error_code error = implementation->Listen(endpoint);
  if (error) {
    return base::Fail(base::ErrorCode::kInputOutput, "listen for messages",
                      peer, error.message());
  }
  implementation->Run([raw = implementation.get()] { raw->Accept(); });
  return std::unique_ptr<MessageServer>(
      new MessageServer(std::move(implementation)));
}

MessageServer::MessageServer(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

MessageServer::~MessageServer() {
  implementation_->Close([raw = implementation_.get()] { raw->DropAll(); });
}

Address MessageServer::address() const {
  return implementation_->address;
}

std::uint64_t MessageServer::refused_frames() const {
  return implementation_->refused_frames;
}

}  // namespace wigeonstair::net
