#include "net/datagram_socket.h"

#include <array>

#include "net/datagram.h"
#include "net/frame.h"
#include "net/loop_object.h"

namespace wigeonstair::net {

namespace {

using boost::asio::ip::udp;

}  // namespace

struct DatagramSocket::Implementation : LoopObject {
  Implementation(EventLoop& loop, DatagramSocketOptions socket_options)
      : LoopObject(loop),
        options(std::move(socket_options)),
        cluster(ClusterFingerprint(options.cluster)),
        socket(context()) {}

  error_code Open(const udp::endpoint& endpoint);
  void Receive();
  void Received(std::string_view datagram);
  void Transmit(const udp::endpoint& peer, const std::string& datagram);

  const DatagramSocketOptions options;
  const std::uint64_t cluster;
  Address address;
  std::atomic<std::uint64_t> dropped = 0;

  udp::socket socket;
  udp::endpoint sender;
  // One byte more than allowed, so that a longer datagram is noticed.
  std::array<char, kMaximumDatagramBytes + 1> buffer{};
};

error_code DatagramSocket::Implementation::Open(const udp::endpoint& endpoint) {
  error_code error;
  socket.open(endpoint.protocol(), error);
  if (!error)
    socket.bind(endpoint, error);
  if (!error)
    socket.non_blocking(true, error);
  if (!error)
    address = ToAddress(socket.local_endpoint(error));
  return error;
}

void DatagramSocket::Implementation::Receive() {
  socket.async_receive_from(
      boost::asio::buffer(buffer), sender,
      Guard([this](const error_code& error, std::size_t size) {
        // An error stems from an earlier datagram that a peer refused.
        if (!error)
          Received(std::string_view(buffer.data(), size));
        if (!closed())
          Receive();
      }));
}

void DatagramSocket::Implementation::Received(std::string_view datagram) {
  std::optional<Datagram> decoded = DecodeDatagram(cluster, datagram);
  if (!decoded) {
    ++dropped;
    return;
  }
  options.handler(ToAddress(sender), decoded->type, std::move(decoded->body));
}

void DatagramSocket::Implementation::Transmit(const udp::endpoint& peer,
                                              const std::string& datagram) {
  error_code error;
  socket.send_to(boost::asio::buffer(datagram), peer, 0, error);
  if (error)
    ++dropped;
}

base::Result<std::unique_ptr<DatagramSocket>> DatagramSocket::create(
    EventLoop& loop,
    DatagramSocketOptions options) {
  const udp::endpoint endpoint = TRY(ToEndpoint<udp>(options.address));
  const std::string peer = options.address.ToString();
  auto implementation =
      std::make_shared<Implementation>(loop, std::move(options));
  const error_code error = implementation->Open(endpoint);
  if (error) {
    return base::Fail(base::ErrorCode::kInputOutput, "open datagram socket",
                      peer, error.message());
  }
  implementation->Run([raw = implementation.get()] { raw->Receive(); });
  return std::unique_ptr<DatagramSocket>(
      new DatagramSocket(std::move(implementation)));
}

DatagramSocket::DatagramSocket(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

DatagramSocket::~DatagramSocket() {
  implementation_->Close([raw = implementation_.get()] {
    error_code ignored;
    raw->socket.close(ignored);
  });
}

void DatagramSocket::Send(const Address& peer,
                          MessageType type,
                          const std::string& body) {
  error_code error;
  const auto ip = boost::asio::ip::make_address_v4(peer.ip, error);
  if (error || body.size() > kMaximumDatagramBodyBytes) {
    ++implementation_->dropped;
    return;
  }
  std::string datagram = EncodeDatagram(implementation_->cluster, type, body);
  implementation_->Run(
      [raw = implementation_.get(), endpoint = udp::endpoint(ip, peer.port),
       datagram = std::move(datagram)] { raw->Transmit(endpoint, datagram); });
}

Address DatagramSocket::address() const {
  return implementation_->address;
}

std::uint64_t DatagramSocket::dropped() const {
  return implementation_->dropped;
}

}  // namespace wigeonstair::net
