#include "membership/message.h"

#include "fuzz/fuzz.h"
#include "membership/table.h"

namespace {

using namespace wigeonstair;

constexpr base::Instant kNow{std::chrono::hours(1)};

membership::Table MakeTable() {
  return membership::Table({.self = {.host = base::HostId("h0"),
                                     .role = membership::HostRole::kControl},
                            .domain = base::DomainId("d0"),
                            .messages = {.ip = "127.0.0.1", .port = 1},
                            .http = {.ip = "127.0.0.1", .port = 2},
                            .initial_incarnation = 1,
                            .seed = 1},
                           kNow);
}

void Merge(const std::vector<membership::Record>& records) {
  membership::Table table = MakeTable();
  table.Merge(records, kNow);
  table.Tick(kNow + std::chrono::seconds(1));
  table.TakeOutgoing();
}

}  // namespace

// Gossip datagrams, join requests and full copies, and what a member makes of
// them.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fuzz::Input input = fuzz::Split(data, size);
  if (input.decoder % 3 == 0) {
    fuzz::RoundTrip(input.bytes, membership::DecodeMessage,
                    membership::EncodeMessage);
    membership::Table table = MakeTable();
    table.Receive({.ip = "127.0.0.1", .port = 3}, input.bytes, kNow);
    table.Tick(kNow + std::chrono::seconds(1));
    table.TakeOutgoing();
  } else if (input.decoder % 3 == 1) {
    const auto request =
        fuzz::RoundTrip(input.bytes, membership::DecodeJoinRequest,
                        membership::EncodeJoinRequest);
    if (request)
      Merge({request->self});
  } else {
    const auto copy = fuzz::RoundTrip(input.bytes, membership::DecodeFullCopy,
                                      membership::EncodeFullCopy);
    if (copy)
      Merge(copy->records);
  }
  return 0;
}
