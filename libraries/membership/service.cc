#include "membership/service.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "net/message_channel.h"

namespace wigeonstair::membership {

namespace {

constexpr base::Duration kJoinInterval = std::chrono::seconds(1);
constexpr base::Duration kJoinTimeout = std::chrono::milliseconds(900);

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

}  // namespace

struct Service::Implementation : std::enable_shared_from_this<Implementation> {
  using Channels = std::map<net::Address, std::unique_ptr<net::MessageChannel>>;

  Implementation(net::EventLoop& event_loop, ServiceOptions service_options)
      : loop(event_loop),
        options(std::move(service_options)),
        table(options.table, base::MonotonicClock::now()) {}

  void Start();
  void Tick();
  void Join();
  void Joined(const net::Address& seed, const net::CallOutcome& outcome);
  void Close();

  // Runs `action` on the table and sends what it gave rise to.
  template <typename Action>
  auto Use(const Action& action) {
    std::unique_lock lock(mutex);
    auto result = action(table);
    const std::vector<OutgoingDatagram> outgoing = table.TakeOutgoing();
    lock.unlock();
    for (const OutgoingDatagram& datagram : outgoing)
      options.send(datagram.peer, kGossipMessageType, datagram.body);
    return result;
  }

  void PublishChanges();
  void Log(const MemberChange& change);
  void Count(const TableCounters& now);

  net::EventLoop& loop;
  const ServiceOptions options;

  mutable std::mutex mutex;
  Table table;
  std::shared_ptr<const Snapshot> snapshot = std::make_shared<Snapshot>();
  TableCounters counted;

  // Held while a timer runs. Recursive, because closing a channel on a loop
  // thread runs its callbacks there.
  std::recursive_mutex callback_mutex;
  bool closed = false;
  net::EventLoop::TimerId tick_timer = 0;
  net::EventLoop::TimerId join_timer = 0;
  // Guarded by the callback mutex. Empty when the join is complete.
  Channels seeds;
  // No longer needed; closed by the next timer.
  Channels finished;
  std::set<net::Address> answered;
};

void Service::Implementation::Start() {
  const auto every = [this](base::Duration interval, auto member) {
    return loop.ScheduleEvery(interval, [weak = weak_from_this(), member] {
      const auto self = weak.lock();
      if (!self)
        return;
      // Destroyed after the lock is released: closing a channel waits for its
      // callbacks, which take the lock.
      Channels unused;
      const std::lock_guard lock(self->callback_mutex);
      if (!self->closed)
        ((*self).*member)();
      unused.swap(self->finished);
    });
  };
  const std::lock_guard lock(callback_mutex);
  tick_timer = every(Table::kTickInterval, &Implementation::Tick);
  if (!seeds.empty()) {
    join_timer = every(kJoinInterval, &Implementation::Join);
    Join();
  }
}

void Service::Implementation::Tick() {
  Use([](Table& t) {
    t.Tick(base::MonotonicClock::now());
    return 0;
  });
  PublishChanges();
}

void Service::Implementation::PublishChanges() {
  std::unique_lock lock(mutex);
  const std::vector<MemberChange> changes = table.TakeChanges();
  Count(table.counters());
  const bool dirty = table.TakeDirty();
  if (dirty) {
    snapshot = std::make_shared<Snapshot>(
        table.MakeSnapshot(base::MonotonicClock::now()));
  }
  const std::shared_ptr<const Snapshot> current = snapshot;
  lock.unlock();
  for (const MemberChange& change : changes)
    Log(change);
  if (dirty && options.on_change)
    options.on_change(current);
}

void Service::Implementation::Log(const MemberChange& change) {
  if (!options.log)
    return;
  options.log->Info(base::EventNumber::kMemberStateChanged,
                    {{"member", change.id.ToString()},
                     {"state", StateName(change.state)},
                     {"incarnation", change.incarnation}});
}

void Service::Implementation::Count(const TableCounters& now) {
  if (options.counters == nullptr)
    return;
  const auto add = [&](const char* name, std::uint64_t TableCounters::*field) {
    options.counters->counter(name).Add(now.*field - counted.*field);
  };
  add("wigeonstair_membership_datagrams_sent_total",
      &TableCounters::datagrams_sent);
  add("wigeonstair_membership_bytes_sent_total", &TableCounters::bytes_sent);
  add("wigeonstair_membership_datagrams_received_total",
      &TableCounters::datagrams_received);
  add("wigeonstair_membership_bytes_received_total",
      &TableCounters::bytes_received);
  add("wigeonstair_membership_malformed_total", &TableCounters::malformed);
  add("wigeonstair_membership_repairs_total", &TableCounters::repairs);
  add("wigeonstair_membership_refutations_total", &TableCounters::refutations);
  add("wigeonstair_membership_suspicions_total", &TableCounters::suspicions);
  add("wigeonstair_membership_deaths_total", &TableCounters::deaths);
  counted = now;
}

void Service::Implementation::Join() {
  const std::string request =
      Use([](Table& t) { return EncodeJoinRequest(t.MakeJoinRequest()); });
  for (const auto& [seed, channel] : seeds) {
    if (answered.contains(seed))
      continue;
    channel->Call(kJoinMessageType, request, kJoinTimeout,
                  [weak = weak_from_this(),
                   address = seed](const net::CallOutcome& outcome) {
                    const auto self = weak.lock();
                    if (!self)
                      return;
                    const std::lock_guard lock(self->callback_mutex);
                    if (!self->closed)
                      self->Joined(address, outcome);
                  });
  }
}

void Service::Implementation::Joined(const net::Address& seed,
                                     const net::CallOutcome& outcome) {
  const auto* body = std::get_if<std::string>(&outcome);
  if (body == nullptr)
    return;
  const auto decoded = base::Capture([&] { return DecodeFullCopy(*body); });
  const auto* copy = std::get_if<FullCopy>(&decoded);
  if (copy == nullptr)
    return;
  answered.insert(seed);
  Use([&](Table& t) {
    t.Merge(copy->records, base::MonotonicClock::now());
    return 0;
  });
  if (seeds.empty() ||
      (copy->domain != options.table.domain && answered.size() < seeds.size()))
    return;
  loop.Cancel(std::exchange(join_timer, 0));
  // Not closed here: this is a callback of one of the channels.
  finished = std::exchange(seeds, {});
}

void Service::Implementation::Close() {
  Channels open;
  Channels done;
  {
    const std::lock_guard lock(callback_mutex);
    closed = true;
    loop.Cancel(tick_timer);
    loop.Cancel(join_timer);
    open = std::exchange(seeds, {});
    done = std::exchange(finished, {});
  }
  // Their callbacks take the callback mutex, so it must be free here.
  open.clear();
  done.clear();
}

base::Result<std::unique_ptr<Service>> Service::create(net::EventLoop& loop,
                                                       ServiceOptions options) {
  auto implementation =
      std::make_shared<Implementation>(loop, std::move(options));
  for (const net::Address& seed : implementation->options.seeds) {
    if (seed == implementation->options.table.messages)
      continue;
    implementation->seeds[seed] = TRY(net::MessageChannel::create(
        loop, {.peer = seed, .cluster = implementation->options.cluster}));
  }
  implementation->Start();
  return std::unique_ptr<Service>(new Service(std::move(implementation)));
}

Service::Service(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

Service::~Service() {
  implementation_->Close();
}

void Service::HandleDatagram(const net::Address& sender,
                             const std::string& body) {
  implementation_->Use([&](Table& table) {
    table.Receive(sender, body, base::MonotonicClock::now());
    return 0;
  });
}

void Service::HandleJoin(const std::string& body,
                         const net::MessageReply& reply) {
  const auto decoded = base::Capture([&] { return DecodeJoinRequest(body); });
  const auto* request = std::get_if<JoinRequest>(&decoded);
  if (request == nullptr)
    return;
  reply(implementation_->Use([&](Table& table) {
    table.Merge({request->self}, base::MonotonicClock::now());
    return EncodeFullCopy(table.CopyFor(request->domain));
  }));
}

void Service::SetStatus(const LocalStatus& status) {
  implementation_->Use([&](Table& table) {
    table.SetStatus(status, base::MonotonicClock::now());
    return 0;
  });
}

void Service::SetCapacity(std::uint64_t epoch,
                          const CapacitySummary& capacity) {
  implementation_->Use([&](Table& table) {
    table.SetCapacity(epoch, capacity, base::MonotonicClock::now());
    return 0;
  });
}

UpstreamOutcome Service::Announce(const UpstreamAnnouncement& announcement) {
  return implementation_->Use([&](Table& table) {
    return table.Announce(announcement, base::MonotonicClock::now());
  });
}

UpstreamOutcome Service::Heartbeat(const base::UpstreamId& id,
                                   std::uint64_t incarnation) {
  return implementation_->Use([&](Table& table) {
    return table.Heartbeat(id, incarnation, base::MonotonicClock::now());
  });
}

UpstreamOutcome Service::LeaveUpstream(const base::UpstreamId& id,
                                       std::uint64_t incarnation) {
  return implementation_->Use([&](Table& table) {
    return table.LeaveUpstream(id, incarnation, base::MonotonicClock::now());
  });
}

void Service::LeaveCluster() {
  implementation_->Use([](Table& table) {
    table.LeaveCluster(base::MonotonicClock::now());
    return 0;
  });
}

std::shared_ptr<const Snapshot> Service::snapshot() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->snapshot;
}

TableCounters Service::counters() const {
  const std::lock_guard lock(implementation_->mutex);
  return implementation_->table.counters();
}

}  // namespace wigeonstair::membership
