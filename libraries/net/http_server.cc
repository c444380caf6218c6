#include "net/http_server.h"

// Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <pplx/threadpool.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <vector>

#include "net/descriptor_limit.h"
#include "net/http_timers.h"
#include "net/server_connection.h"
#include "net/tls_identity.h"

namespace wigeonstair::net {

namespace {

namespace asio = boost::asio;

using boost::system::error_code;

// Before the next attempt to accept a connection when descriptors or memory
// are short.
constexpr base::Duration kAcceptPause = std::chrono::milliseconds(50);
constexpr std::size_t kDefaultMemoryBytes = 512UL * 1024 * 1024;

// Never destroyed, because the threads of the HTTP library may outlive other
// static objects.
const std::shared_ptr<ConnectionTable>& SharedConnections() {
  static const auto* const shared = [] {
    return new std::shared_ptr<ConnectionTable>(
        std::make_shared<ConnectionTable>(
            DeriveConnectionLimits(DescriptorLimit(), kDefaultMemoryBytes)));
  }();
  return *shared;
}

std::shared_ptr<asio::ssl::context> MakeContext(const TlsIdentity& identity) {
  auto context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  context->set_options(
      asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
      asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
      asio::ssl::context::no_tlsv1_1);
  error_code ignored;
  context->use_certificate_chain(asio::buffer(identity.certificate_pem),
                                 ignored);
  context->use_private_key(asio::buffer(identity.key_pem),
                           asio::ssl::context::pem, ignored);
  return context;
}

}  // namespace

bool SetHttpThreads(int threads) {
  try {
    crossplat::threadpool::initialize_with_threads(
        static_cast<std::size_t>(threads));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

// Accepts connections until it is closed.
class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  explicit Listener(HttpServerOptions options)
      : requests_(std::make_shared<ServerRequests>(std::move(options))),
        acceptor_(Service()) {}

  base::Result<std::monostate> Open();
  // Accepts nothing more, waits for the requests in progress and closes all
  // connections.
  void Close();
  base::Result<std::monostate> LoadIdentity();

  Address address() const { return address_; }
  ServerRequests& requests() const { return *requests_; }

 private:
  using Executor = ServerConnection::Strand;

  static asio::io_context& Service() {
    return crossplat::threadpool::shared_instance().service();
  }

  void Accept();
  void OnAccept(const error_code& error, ServerConnection::Socket socket);

  const std::shared_ptr<ServerRequests> requests_;
  Address address_;
  // Guards the members below; the acceptor is not used otherwise.
  std::mutex mutex_;
  asio::ip::tcp::acceptor acceptor_;
  std::shared_ptr<asio::ssl::context> tls_;
  std::vector<std::weak_ptr<ServerConnection>> open_;
  // Ended connections are removed from `open_` when it has grown to this.
  std::size_t cleanup_size_ = 64;
  bool closed_ = false;
};

base::Result<std::monostate> HttpServer::Listener::Open() {
  address_ = requests_->options().address;
  error_code error;
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(address_.ip, error), address_.port);
  if (!error)
    acceptor_.open(endpoint.protocol(), error);
  if (!error)
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error)
    acceptor_.bind(endpoint, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error)
    address_.port = acceptor_.local_endpoint(error).port();
  if (error) {
    return base::Fail(base::ErrorCode::kInputOutput, "open HTTP listener",
                      address_.ToString(), error.message());
  }
  const std::lock_guard lock(mutex_);
  Accept();
  return std::monostate{};
}

base::Result<std::monostate> HttpServer::Listener::LoadIdentity() {
  const TlsFiles& files = requests_->options().tls;
  if (files.certificate.empty())
    return std::monostate{};
  auto context = MakeContext(TRY(LoadTlsIdentity(files)));
  const std::lock_guard lock(mutex_);
  tls_ = std::move(context);
  return std::monostate{};
}

void HttpServer::Listener::Accept() {
  acceptor_.async_accept(
      Executor(Service().get_executor()),
      [self = shared_from_this()](const error_code& error,
                                  ServerConnection::Socket socket) {
        self->OnAccept(error, std::move(socket));
      });
}

void HttpServer::Listener::OnAccept(const error_code& error,
                                    ServerConnection::Socket socket) {
  std::shared_ptr<ServerConnection> connection;
  {
    const std::lock_guard lock(mutex_);
    if (closed_)
      return;
    if (error) {
      HttpTimers::Shared().Start(kAcceptPause, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
          return;
        const std::lock_guard inner(self->mutex_);
        if (!self->closed_)
          self->Accept();
      });
      return;
    }
    connection =
        std::make_shared<ServerConnection>(requests_, std::move(socket), tls_);
    if (open_.size() >= cleanup_size_) {
      std::erase_if(open_, [](const auto& item) { return item.expired(); });
      cleanup_size_ = std::max<std::size_t>(64, 2 * open_.size());
    }
    open_.push_back(connection);
    Accept();
  }
  connection->Start();
}

void HttpServer::Listener::Close() {
  {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
  }
  requests_->Close();
  requests_->WaitUntilIdle(nullptr);
  const std::lock_guard lock(mutex_);
  for (const std::weak_ptr<ServerConnection>& item : open_) {
    if (const auto connection = item.lock())
      connection->RequestClose();
  }
  open_.clear();
}

base::Result<std::unique_ptr<HttpServer>> HttpServer::create(
    HttpServerOptions options) {
  if (!options.connections)
    options.connections = SharedConnections();
  auto listener = std::make_shared<Listener>(std::move(options));
  TRY(listener->LoadIdentity());
  TRY(listener->Open());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(listener)));
}

HttpServer::HttpServer(std::shared_ptr<Listener> listener)
    : listener_(std::move(listener)) {}

HttpServer::~HttpServer() {
  listener_->Close();
}

Address HttpServer::address() const {
  return listener_->address();
}

int HttpServer::requests_in_progress() const {
  return listener_->requests().in_progress();
}

base::Result<std::monostate> HttpServer::ReloadCertificate() {
  return listener_->LoadIdentity();
}

bool HttpServer::Drain(base::Duration timeout) {
  return listener_->requests().WaitUntilIdle(&timeout);
}

}  // namespace wigeonstair::net
