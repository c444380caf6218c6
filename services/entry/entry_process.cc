#include "services/entry/entry_process.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "membership/message.h"
#include "membership/service.h"
#include "net/address.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "net/http_threads.h"
#include "net/message_channel.h"
#include "net/message_server.h"
#include "services/entry/entry_service.h"
#include "services/entry/http_upstream_client.h"
#include "services/entry/membership_peers.h"
#include "services/entry/message_cluster_feed.h"
#include "services/entry/message_record_client.h"
#include "tools/service_listeners.h"

namespace wigeonstair::entry {

namespace {

constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
constexpr base::Duration kLeaveTimeout = std::chrono::seconds(1);

class SystemClock : public Clock {
 public:
  base::Instant Now() override { return base::MonotonicClock::now(); }
  std::int64_t WallMilliseconds() override {
    return base::WallClockNow().count();
  }
};

class HttpTimers : public Timers {
 public:
  std::function<void()> After(base::Duration delay,
                              std::function<void()> callback) override {
    return net::RunAfter(delay, std::move(callback));
  }
};

// Random, so that runs of the process differ even if the wall clock is set
// back. The lower 32 bits are zero and serve as a counter within the run.
std::uint64_t RandomRunId() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32U;
}

// Counts the entry hosts of this host's failure domain, including this host.
std::size_t CountDomainEntryHosts(const settings::ProcessSettings& settings) {
  const auto others = std::count_if(
      settings.hosts.begin(), settings.hosts.end(),
      [&](const cluster::HostConfiguration& host) {
        return host.domain == settings.domain && host.id != settings.host &&
               !host.entry_http.empty();
      });
  return static_cast<std::size_t>(others) + 1;
}

EntryServiceOptions ServiceOptions(const settings::ProcessSettings& settings) {
  ControllerOptions controllers{
      .host = settings.host,
      .domain = settings.domain,
      .domain_hosts = CountDomainEntryHosts(settings)};
  // The only entry host of a domain shares its upstreams with no other host, so
  // it need not wait for the shares to settle.
  if (controllers.domain_hosts == 1)
    controllers.settle_time = {};
  controllers.gate.queue.maximum_length =
      static_cast<std::size_t>(settings.limits.admission_queue);
  return {
      .request = {.host = settings.host,
                  .domain = settings.domain,
                  .peer_scheme =
                      settings.tls_certificate_file.empty() ? "http" : "https",
                  .claim_validity = settings.timeouts.claim_validity,
                  .hedge_floor = settings.timeouts.hedge_floor},
      .controllers = std::move(controllers),
      .explained_requests =
          static_cast<std::size_t>(settings.limits.explained_requests),
      .run = RandomRunId()};
}

}  // namespace

struct EntryProcess::Implementation {
  explicit Implementation(const settings::ProcessSettings& process_settings)
      : settings(process_settings),
        upstreams({.trusted_certificates = settings.trusted_certificate_file}) {
  }

  base::Result<std::monostate> Open();
  base::Result<std::monostate> OpenMembership();
  std::vector<net::Address> Seeds() const;
  void Leave();

  settings::ProcessSettings settings;
  std::shared_ptr<base::EventLog> log;
  SystemClock clock;
  HttpTimers timers;
  HttpUpstreamClient upstreams;
  net::EventLoop loop;
  // Null while no messages may be handled: before membership has started and
  // during destruction.
  std::atomic<membership::Service*> active_membership{nullptr};
  std::unique_ptr<net::MessageServer> messages;
  std::unique_ptr<net::DatagramSocket> datagrams;
  std::unique_ptr<membership::Service> membership;
  std::unique_ptr<MembershipPeers> peers;
  std::unique_ptr<net::MessageChannel> channel;
  std::unique_ptr<MessageRecordClient> records;
  std::unique_ptr<MessageClusterFeed> feed;
  std::unique_ptr<EntryService> service;
  net::EventLoop::TimerId tick = 0;
  std::unique_ptr<tools::ServiceListeners> listeners;
};

base::Result<std::monostate> EntryProcess::Implementation::Open() {
  log = TRY(base::EventLog::create({.process = "entry",
                                    .host = settings.host.value(),
                                    .file = settings.log_file,
                                    .level = settings.log_level}));
  channel = TRY(net::MessageChannel::create(
      loop, {.peer = TRY(net::ParseAddress(settings.self().control_messages)),
             .cluster = settings.cluster}));
  records = std::make_unique<MessageRecordClient>(loop, *channel);
  feed = std::make_unique<MessageClusterFeed>(loop, *channel);
  TRY(OpenMembership());
  service = std::make_unique<EntryService>(
      ServiceOptions(settings), EntryDependencies{.upstreams = upstreams,
                                                  .records = *records,
                                                  .directory = *peers,
                                                  .peers = *peers,
                                                  .feed = *feed,
                                                  .clock = clock,
                                                  .timers = timers,
                                                  .log = *log});
  tick = loop.ScheduleEvery(kTickInterval, [this] {
    membership->SetStatus({.applied_revision = feed->Latest().revision});
    service->Tick();
  });
  listeners = TRY(tools::ServiceListeners::create(
      settings,
      [this](net::HttpRequest request, net::HttpResponder responder) {
        service->Handle(std::move(request), std::move(responder));
      },
      log));
  log->Info(base::EventNumber::kProcessStarted,
            {{"http", listeners->address().ToString()},
             {"domain", settings.domain.value()},
             {"cluster", settings.cluster}});
  return std::monostate{};
}

// Hosts of this host's failure domain come first: only their membership state
// contains the upstreams of the domain.
std::vector<net::Address> EntryProcess::Implementation::Seeds() const {
  std::vector<net::Address> own;
  std::vector<net::Address> others;
  for (const cluster::HostConfiguration& host : settings.hosts) {
    for (const std::string& text :
         {host.entry_messages, host.control_messages}) {
      if (text.empty() || text == settings.messages)
        continue;
      const auto address =
          base::Capture([&] { return net::ParseAddress(text); });
      if (const auto* seed = std::get_if<net::Address>(&address))
        (host.domain == settings.domain ? own : others).push_back(*seed);
    }
  }
  own.insert(own.end(), others.begin(), others.end());
  return own;
}

base::Result<std::monostate> EntryProcess::Implementation::OpenMembership() {
  messages = TRY(net::MessageServer::create(
      loop, {.address = TRY(net::ParseAddress(settings.messages)),
             .cluster = settings.cluster,
             .handler = [this](net::MessageType type, const std::string& body,
                               const net::MessageReply& reply) {
               membership::Service* active_service = active_membership.load();
               if (type == membership::kJoinMessageType &&
                   active_service != nullptr)
                 active_service->HandleJoin(body, reply);
             }}));
  datagrams = TRY(net::DatagramSocket::create(
      loop, {.address = messages->address(),
             .cluster = settings.cluster,
             .handler = [this](const net::Address& sender,
                               net::MessageType type, const std::string& body) {
               membership::Service* active_service = active_membership.load();
               if (type == membership::kGossipMessageType &&
                   active_service != nullptr)
                 active_service->HandleDatagram(sender, body);
             }}));
  membership = TRY(membership::Service::create(
      loop,
      {.table = {.self = {.host = settings.host,
                          .role = membership::HostRole::kEntry},
                 .domain = settings.domain,
                 .messages = messages->address(),
                 .http = TRY(net::ParseAddress(settings.http)),
                 .initial_incarnation =
                     static_cast<std::uint64_t>(clock.WallMilliseconds()),
                 .seed = RandomRunId()},
       .cluster = settings.cluster,
       .seeds = Seeds(),
       .send =
           [this](const net::Address& peer, net::MessageType type,
                  const std::string& body) {
             datagrams->Send(peer, type, body);
           },
       .on_change = [](const std::shared_ptr<const membership::Snapshot>&) {},
       .log = log}));
  active_membership = membership.get();
  peers = std::make_unique<MembershipPeers>(settings.host, settings.domain,
                                            settings.hosts.size(), *membership);
  return std::monostate{};
}

// Leaves the cluster. Returns when the datagrams that notify the other members
// have been sent, or after kLeaveTimeout.
void EntryProcess::Implementation::Leave() {
  membership->LeaveCluster();
  const auto left = std::make_shared<std::promise<void>>();
  std::future<void> sent = left->get_future();
  loop.Post([left] { left->set_value(); });
  sent.wait_for(kLeaveTimeout);
}

base::Result<std::unique_ptr<EntryProcess>> EntryProcess::create(
    const settings::ProcessSettings& settings) {
  auto implementation = std::make_unique<Implementation>(settings);
  Implementation& opening = *implementation;
  // If Open() fails, the destructor of EntryProcess closes what was opened.
  std::unique_ptr<EntryProcess> process(
      new EntryProcess(std::move(implementation)));
  TRY(opening.Open());
  return process;
}

EntryProcess::EntryProcess(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

EntryProcess::~EntryProcess() {
  // Close the listeners first, so that no request arrives; then stop the loop,
  // so that no timer or reply accesses destroyed objects.
  implementation_->listeners.reset();
  implementation_->active_membership = nullptr;
  implementation_->loop.Stop();
}

net::Address EntryProcess::address() const {
  return implementation_->listeners->address();
}

void EntryProcess::ReloadCertificate() {
  implementation_->listeners->ReloadCertificate();
}

base::Result<std::monostate> EntryProcess::Drain() {
  Implementation& process = *implementation_;
  process.log->Info(base::EventNumber::kProcessStopping,
                    {{"in_progress", process.service->in_progress()}});
  process.service->BeginDrain();
  const base::Instant deadline =
      process.clock.Now() + process.settings.timeouts.drain;
  // The load balancer sees /healthz fail while requests in progress complete.
  constexpr base::Duration kDrainPollInterval = std::chrono::milliseconds(20);
  while (process.service->in_progress() > 0 && process.clock.Now() < deadline)
    std::this_thread::sleep_for(kDrainPollInterval);
  const base::Duration left = std::max<base::Duration>(
      deadline - process.clock.Now(), kDrainPollInterval);
  const bool idle =
      process.service->in_progress() == 0 && process.listeners->Drain(left);
  process.Leave();
  if (idle)
    process.log->Info(base::EventNumber::kProcessStopped, {});
  process.log->Flush();
  if (!idle) {
    return base::Fail(base::ErrorCode::kTimeout, "drain", {},
                      "requests were still in progress");
  }
  return std::monostate{};
}

}  // namespace wigeonstair::entry
