#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "tests/hostile_clients/crowd.h"
#include "tests/hostile_clients/platform_processes.h"

namespace wigeonstair::hostile_clients {

namespace {

constexpr std::size_t kClients = 96;
constexpr std::size_t kBytesPerClient = 2UL * 1024 * 1024;
// Bounds on a process at any time.
constexpr std::size_t kMemoryKilobytes = 48UL * 1024;
constexpr std::size_t kDescriptors = 96;

const std::string kPost =
    "POST /a/0123456789abcdef HTTP/1.1\r\n"
    "Host: h.example\r\nAuthorization: Bearer key-1\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";

Script LargeChunks() {
  const std::size_t size = 0x8000;
  return {.opening = kChunked,
          .filler = "8000\r\n" + std::string(size, 'x') + "\r\n",
          .bytes = kBytesPerClient};
}

Script SmallChunks() {
  return {
      .opening = kChunked, .filler = "1\r\nx\r\n", .bytes = kBytesPerClient};
}

// Ends one byte before the end of a body that is inside the limit.
Script AlmostWhole() {
  const std::string whole =
      kChunked + "8000\r\n" + std::string(0x8000, ' ') + "\r\n0\r\n\r\n";
  return {.opening = whole, .filler = {}, .bytes = whole.size() - 1};
}

// Ends one byte before the end of the body that it announced.
Script AnnouncedTooLong() {
  const std::string head =
      kPost + "Content-Length: " + std::to_string(kBytesPerClient) + "\r\n\r\n";
  return {.opening = head,
          .filler = "x",
          .bytes = head.size() + kBytesPerClient - 1};
}

// One chunk that is larger than a body may be.
Script SentTooLong() {
  return {.opening = kChunked + "40000000\r\n",
          .filler = "x",
          .bytes = kBytesPerClient};
}

Script LongHead() {
  return {.opening = kPost + "X-Long: " + std::string(64UL * 1024, 'x') +
                     "\r\nX-End: y\r\n\r\n",
          .filler = "GET / HTTP/1.1\r\n\r\n",
          .bytes = kBytesPerClient};
}

Script EndlessHead() {
  return {
      .opening = kPost, .filler = "X-A: bcdef\r\n", .bytes = kBytesPerClient};
}

Script EndlessLine() {
  return {.opening = "GET /", .filler = "x", .bytes = kBytesPerClient};
}

Script EmptyLines() {
  return {.opening = {}, .filler = "\r\n", .bytes = kBytesPerClient};
}

// Sends nothing at all.
Script Silent() {
  return {};
}

struct Target {
  const net::Address& address;
  const end_to_end::ChildProcess& process;
};

// Lets a crowd that reads nothing and one that reads all loose on a gateway and
// on a scheduler, and checks the process while the crowd is connected and after
// it has left.
void Attack(const std::vector<Script>& scripts) {
  const bool at_gateway = GENERATE(true, false);
  const Reading reading = GENERATE(Reading::kNothing, Reading::kEverything);
  const PlatformProcesses processes;
  const Target target =
      at_gateway ? Target{processes.callers(), processes.gateway()}
                 : Target{processes.control(), processes.scheduler()};
  const auto answers = [&] {
    return at_gateway ? processes.GatewayAnswers()
                      : processes.SchedulerAnswers();
  };
  INFO((at_gateway ? "gateway" : "scheduler")
       << ", reading "
       << (reading == Reading::kNothing ? "nothing" : "everything"));
  const std::size_t before = PeakMemoryKilobytes(target.process);
  {
    Crowd crowd(target.address, scripts, kClients, reading);
    crowd.Send();
    INFO("bytes sent " << crowd.bytes_sent() << ", memory before " << before
                       << " kB");
    CHECK(answers());
    // The server accepts in order, so the crowd's connections are accepted now.
    CHECK(OpenDescriptors(target.process) <= kDescriptors);
    CHECK(IsRunning(target.process));
    CHECK(PeakMemoryKilobytes(target.process) <= kMemoryKilobytes);
  }
  CHECK(answers());
  CHECK(IsRunning(target.process));
  CHECK(PeakMemoryKilobytes(target.process) <= kMemoryKilobytes);
}

}  // namespace

// Each case guards against clients that end a process, or take all of its
// memory or connections, by what they send before a request is whole.

TEST_CASE("bodies in large chunks end no process") {
  Attack({LargeChunks()});
}

TEST_CASE("bodies in chunks of one byte end no process") {
  Attack({SmallChunks()});
}

TEST_CASE("bodies that stop short of their end end no process") {
  Attack({AlmostWhole()});
}

TEST_CASE("bodies announced over the limit end no process") {
  Attack({AnnouncedTooLong()});
}

TEST_CASE("bodies sent over the limit end no process") {
  Attack({SentTooLong()});
}

TEST_CASE("heads over the limit end no process") {
  Attack({LongHead()});
}

TEST_CASE("heads without end end no process") {
  Attack({EndlessHead(), EndlessLine()});
}

TEST_CASE("empty lines before a request end no process") {
  Attack({EmptyLines()});
}

TEST_CASE("connections that send nothing end no process") {
  Attack({Silent()});
}

TEST_CASE("clients outside all limits at once end no process") {
  Attack({LargeChunks(), SmallChunks(), AlmostWhole(), AnnouncedTooLong(),
          SentTooLong(), LongHead(), EndlessHead(), EndlessLine(), EmptyLines(),
          Silent()});
}

}  // namespace wigeonstair::hostile_clients
