#include "net/message_channel.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/random.h"
#include "net/frame.h"
#include "net/loop_object.h"

namespace wigeonstair::net {

namespace {

using boost::asio::ip::tcp;

constexpr base::Duration kFirstReconnectDelay = std::chrono::milliseconds(50);
constexpr base::Duration kLongestReconnectDelay = std::chrono::seconds(1);
// A connection that lasted this long was of use, so the delay starts anew. A
// peer that accepts and closes at once, such as one of another cluster, must
// not be called 20 times a second.
constexpr base::Duration kUsefulConnection = std::chrono::seconds(1);
// Frames that wait are written together up to this size.
constexpr std::size_t kWriteBatchBytes = 64UL * 1024;
constexpr std::size_t kReadBytes = 64UL * 1024;

}  // namespace

struct MessageChannel::Implementation : LoopObject {
  // A call whose outcome is open.
  struct PendingCall {
    std::function<void(CallOutcome)> done;
    std::shared_ptr<boost::asio::steady_timer> timer;
    bool sent = false;
  };
  struct QueuedFrame {
    std::string bytes;
    // Zero in a one-way frame.
    std::uint64_t call = 0;
  };

  Implementation(EventLoop& loop,
                 MessageChannelOptions channel_options,
                 const tcp::endpoint& peer_endpoint)
      : LoopObject(loop),
        options(std::move(channel_options)),
        endpoint(peer_endpoint),
        cluster(ClusterFingerprint(options.cluster)),
        timer(context()),
        // Spreads the reconnects of many channels; the value does not matter.
        random(reinterpret_cast<std::uintptr_t>(this)) {}

  void Connect();
  void Connected();
  void Read();
  void Received(std::size_t size);
  void Write();
  std::string TakeBatch();
  void Break(const std::string& reason);
  void FailSentCalls(const std::string& reason);

  bool Reserve(std::size_t bytes);
  void Enqueue(std::string bytes, std::uint64_t call);
  void StartCall(std::uint64_t call, base::Duration timeout, std::string bytes);
  // Ends a call unless it has ended.
  void Finish(std::uint64_t call, CallOutcome outcome);
  void Expire(std::uint64_t call);
  void FailAll();
  base::Error Failure(bool sent, std::string detail) const;

  const MessageChannelOptions options;
  const tcp::endpoint endpoint;
  const std::uint64_t cluster;

  // Used by any thread.
  std::atomic<std::size_t> queued_bytes = 0;
  std::mutex calls_mutex;
  std::uint64_t last_call = 0;
  std::unordered_map<std::uint64_t, PendingCall> calls;

  // Used by handlers only.
  boost::asio::steady_timer timer;
  base::Random random;
  std::shared_ptr<tcp::socket> socket;
  std::optional<FrameReader> reader;
  std::array<char, kReadBytes> read_buffer{};
  bool connected = false;
  bool writing = false;
  std::deque<QueuedFrame> queue;
  base::Instant connected_at{};
  base::Duration reconnect_delay = kFirstReconnectDelay;
};

base::Error MessageChannel::Implementation::Failure(bool sent,
                                                    std::string detail) const {
  return base::Error{
      .code = sent ? base::ErrorCode::kTimeout : base::ErrorCode::kUnavailable,
      .step = "call",
      .peer = options.peer.ToString(),
      .detail = std::move(detail)};
}

void MessageChannel::Implementation::Connect() {
  socket = std::make_shared<tcp::socket>(context());
  reader.emplace(cluster, kDefaultFrameLimitBytes);
  timer.expires_after(options.connect_timeout);
  timer.async_wait(Guard([this, attempt = socket](const error_code& error) {
    if (!error && attempt == socket && !connected)
      Break("the connection attempt timed out");
  }));
  socket->async_connect(
      endpoint, Guard([this, attempt = socket](const error_code& error) {
        if (attempt != socket)
          return;
        if (error)
          Break("cannot connect: " + error.message());
        else
          Connected();
      }));
}

void MessageChannel::Implementation::Connected() {
  timer.cancel();
  connected = true;
  connected_at = base::MonotonicClock::now();
  TuneConnection(*socket);
  Read();
  Write();
}

void MessageChannel::Implementation::Read() {
  socket->async_read_some(
      boost::asio::buffer(read_buffer),
      Guard([this, source = socket](const error_code& error, std::size_t size) {
        if (source != socket)
          return;
        if (error)
          Break("the connection broke: " + error.message());
        else
          Received(size);
      }));
}

void MessageChannel::Implementation::Received(std::size_t size) {
  reader->Append(std::string_view(read_buffer.data(), size));
  while (true) {
    auto next = reader->Next();
    if (std::holds_alternative<FrameFault>(next))
      return Break("the peer sent a malformed frame");
    if (std::holds_alternative<NeedMoreBytes>(next))
      return Read();
    Frame& frame = std::get<Frame>(next);
    if (frame.kind != FrameKind::kAnswer)
      return Break("the peer sent a frame that is not an answer");
    Finish(frame.call, std::move(frame.body));
    if (closed())
      return;
  }
}

std::string MessageChannel::Implementation::TakeBatch() {
  std::string batch;
  while (!queue.empty() &&
         (batch.empty() ||
          batch.size() + queue.front().bytes.size() <= kWriteBatchBytes)) {
    QueuedFrame frame = std::move(queue.front());
    queue.pop_front();
    queued_bytes -= frame.bytes.size();
    if (frame.call != 0) {
      const std::lock_guard lock(calls_mutex);
      const auto found = calls.find(frame.call);
      // The call has ended as not sent, so it must never be sent.
      if (found == calls.end())
        continue;
      found->second.sent = true;
    }
    if (batch.empty())
      batch = std::move(frame.bytes);
    else
      batch += frame.bytes;
  }
  return batch;
}

void MessageChannel::Implementation::Write() {
  if (!connected || writing)
    return;
  auto batch = std::make_shared<const std::string>(TakeBatch());
  if (batch->empty())
    return;
  writing = true;
  boost::asio::async_write(
      *socket, boost::asio::buffer(*batch),
      Guard(
          [this, batch, target = socket](const error_code& error, std::size_t) {
            if (target != socket)
              return;
            writing = false;
            if (error)
              Break("the connection broke: " + error.message());
            else
              Write();
          }));
}

void MessageChannel::Implementation::Break(const std::string& reason) {
  error_code ignored;
  socket->close(ignored);
  // Handlers of the old connection see another socket and do nothing.
  socket = nullptr;
  timer.cancel();
  const bool useful = connected && base::MonotonicClock::now() - connected_at >=
                                       kUsefulConnection;
  connected = false;
  writing = false;
  reconnect_delay = useful
                        ? kFirstReconnectDelay
                        : std::min(reconnect_delay * 2, kLongestReconnectDelay);
  const base::Duration jitter(random.Below(reconnect_delay.count() / 2));
  timer.expires_after(reconnect_delay / 2 + jitter);
  timer.async_wait(Guard([this](const error_code& error) {
    if (!error && socket == nullptr)
      Connect();
  }));
  FailSentCalls(reason);
}

void MessageChannel::Implementation::FailSentCalls(const std::string& reason) {
  std::vector<std::uint64_t> sent;
  {
    const std::lock_guard lock(calls_mutex);
    for (const auto& [id, call] : calls) {
      if (call.sent)
        sent.push_back(id);
    }
  }
  std::sort(sent.begin(), sent.end());
  for (const std::uint64_t id : sent) {
    if (closed())
      return;
    Finish(id, Failure(true, reason));
  }
}

bool MessageChannel::Implementation::Reserve(std::size_t bytes) {
  if (bytes > kDefaultFrameLimitBytes + kFrameHeaderBytes)
    return false;
  const std::size_t before = queued_bytes.fetch_add(bytes);
  // A frame above the limit can still go out alone.
  if (before == 0 || before + bytes <= options.queue_limit_bytes)
    return true;
  queued_bytes -= bytes;
  return false;
}

void MessageChannel::Implementation::Enqueue(std::string bytes,
                                             std::uint64_t call) {
  queue.push_back(QueuedFrame{.bytes = std::move(bytes), .call = call});
  Write();
}

void MessageChannel::Implementation::StartCall(std::uint64_t call,
                                               base::Duration timeout,
                                               std::string bytes) {
  auto deadline = std::make_shared<boost::asio::steady_timer>(context());
  deadline->expires_after(timeout);
  deadline->async_wait(Guard([this, call](const error_code& error) {
    if (!error)
      Expire(call);
  }));
  {
    const std::lock_guard lock(calls_mutex);
    calls.at(call).timer = std::move(deadline);
  }
  Enqueue(std::move(bytes), call);
}

void MessageChannel::Implementation::Finish(std::uint64_t call,
                                            CallOutcome outcome) {
  PendingCall pending;
  {
    const std::lock_guard lock(calls_mutex);
    const auto found = calls.find(call);
    if (found == calls.end())
      return;
    pending = std::move(found->second);
    calls.erase(found);
  }
  if (pending.timer)
    pending.timer->cancel();
  pending.done(std::move(outcome));
}

void MessageChannel::Implementation::Expire(std::uint64_t call) {
  bool sent = false;
  {
    const std::lock_guard lock(calls_mutex);
    const auto found = calls.find(call);
    if (found == calls.end())
      return;
    sent = found->second.sent;
  }
  Finish(call, Failure(sent, sent ? "no answer within the timeout"
                                  : "no connection within the timeout"));
}

void MessageChannel::Implementation::FailAll() {
  error_code ignored;
  if (socket)
    socket->close(ignored);
  timer.cancel();
  std::unordered_map<std::uint64_t, PendingCall> open;
  {
    const std::lock_guard lock(calls_mutex);
    open.swap(calls);
  }
  for (auto& [id, call] : open) {
    if (call.timer)
      call.timer->cancel();
    call.done(Failure(call.sent, "the channel was closed"));
  }
}

base::Result<std::unique_ptr<MessageChannel>> MessageChannel::create(
    EventLoop& loop,
    MessageChannelOptions options) {
  const tcp::endpoint endpoint = TRY(ToEndpoint<tcp>(options.peer));
  auto implementation =
      std::make_shared<Implementation>(loop, std::move(options), endpoint);
  implementation->Run([raw = implementation.get()] { raw->Connect(); });
  return std::unique_ptr<MessageChannel>(
      new MessageChannel(std::move(implementation)));
}

MessageChannel::MessageChannel(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

MessageChannel::~MessageChannel() {
  implementation_->Close([raw = implementation_.get()] { raw->FailAll(); });
}

void MessageChannel::Send(MessageType type, std::string body) {
  std::string bytes = EncodeFrame(
      implementation_->cluster,
      Frame{.type = type, .kind = FrameKind::kOneWay, .body = std::move(body)});
  if (!implementation_->Reserve(bytes.size()))
    return;
  implementation_->Run(
      [raw = implementation_.get(), bytes = std::move(bytes)]() mutable {
        raw->Enqueue(std::move(bytes), 0);
      });
}

void MessageChannel::Call(MessageType type,
                          std::string body,
                          base::Duration timeout,
                          std::function<void(CallOutcome)> done) {
  Implementation* raw = implementation_.get();
  std::uint64_t call = 0;
  {
    const std::lock_guard lock(raw->calls_mutex);
    call = ++raw->last_call;
    raw->calls[call].done = std::move(done);
  }
  std::string bytes = EncodeFrame(raw->cluster, Frame{.type = type,
                                                      .kind = FrameKind::kCall,
                                                      .call = call,
                                                      .body = std::move(body)});
  if (!raw->Reserve(bytes.size())) {
    raw->Run([raw, call] {
      raw->Finish(call, raw->Failure(false, "the queue to the peer is full"));
    });
    return;
  }
  raw->Run([raw, call, timeout, bytes = std::move(bytes)]() mutable {
    raw->StartCall(call, timeout, std::move(bytes));
  });
}

}  // namespace wigeonstair::net
