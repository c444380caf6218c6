#include "routing/admission_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

namespace wigeonstair::routing {

namespace {

using std::chrono::milliseconds;

base::Instant At(int time) {
  return base::Instant(milliseconds(time));
}

WaitingRequest Request(std::uint64_t ticket,
                       const std::string& customer,
                       int deadline,
                       int weight = 1) {
  return {.ticket = ticket,
          .customer = base::CustomerId(customer),
          .weight = weight,
          .deadline = At(deadline)};
}

std::vector<std::uint64_t> PopAll(AdmissionQueue& queue, int time) {
  std::vector<std::uint64_t> order;
  std::vector<ShedRequest> shed;
  while (const auto ticket = queue.Pop(At(time), shed))
    order.push_back(*ticket);
  return order;
}

}  // namespace

// Guards against serving a request before one with an earlier deadline.
TEST_CASE("the earliest deadline of a customer goes first") {
  AdmissionQueue queue;
  queue.Push(Request(1, "a", 300), At(0));
  queue.Push(Request(2, "a", 100), At(0));
  queue.Push(Request(3, "a", 200), At(0));
  CHECK(PopAll(queue, 0) == std::vector<std::uint64_t>{2, 3, 1});
}

// Guards against slots spent on requests whose answers arrive after the
// deadline.
TEST_CASE("requests that cannot meet their deadline are shed") {
  for (const auto fault : {QueueFault::kNone, QueueFault::kNoShedding}) {
    AdmissionQueue queue({.fault = fault});
    queue.RecordService(milliseconds(50));
    queue.Push(Request(1, "a", 100), At(0));
    queue.Push(Request(2, "a", 500), At(0));
    std::vector<ShedRequest> shed;
    const auto ticket = queue.Pop(At(60), shed);
    if (fault == QueueFault::kNone) {
      CHECK(ticket == 2);
      CHECK(shed ==
            std::vector<ShedRequest>{
                {.ticket = 1, .reason = ReasonCode::kDeadlineUnreachable}});
    } else {
      CHECK(ticket == 1);
    }
  }
}

// Guards against one customer that fills the queue, so that the requests of the
// others are shed.
TEST_CASE("a full queue sheds from the customer with the longest backlog") {
  for (const auto fault : {QueueFault::kNone, QueueFault::kNoFairness}) {
    AdmissionQueue queue({.maximum_length = 10, .fault = fault});
    for (std::uint64_t ticket = 0; ticket < 10; ++ticket)
      queue.Push(Request(ticket, "greedy", 1000 + static_cast<int>(ticket)),
                 At(0));
    const auto shed = queue.Push(Request(100, "small", 2000), At(0));
    REQUIRE(shed.size() == 1);
    CHECK(shed.front().ticket == (fault == QueueFault::kNone ? 9 : 100));
    CHECK(queue.size() == 10);
  }
}

// Guards against a dequeue order that ignores the weights of customers.
TEST_CASE("customers are served in proportion to their weights") {
  AdmissionQueue queue;
  for (std::uint64_t ticket = 0; ticket < 300; ++ticket) {
    queue.Push(Request(ticket, "a", 1000, 3), At(0));
    queue.Push(Request(1000 + ticket, "b", 1000, 1), At(0));
  }
  std::vector<ShedRequest> shed;
  int first = 0;
  for (int turn = 0; turn < 100; ++turn)
    first += *queue.Pop(At(0), shed) < 1000 ? 1 : 0;
  CHECK(first >= 74);
  CHECK(first <= 76);
}

// Guards against a customer that is served exclusively after an idle time,
// because the others were served meanwhile.
TEST_CASE("an idle customer gains no credit for idle time") {
  AdmissionQueue queue;
  std::vector<ShedRequest> shed;
  queue.Push(Request(1, "late", 9000), At(0));
  queue.Pop(At(0), shed);
  for (std::uint64_t ticket = 10; ticket < 210; ++ticket)
    queue.Push(Request(ticket, "busy", 9000), At(0));
  for (int turn = 0; turn < 100; ++turn)
    queue.Pop(At(0), shed);
  for (std::uint64_t ticket = 1000; ticket < 1100; ++ticket)
    queue.Push(Request(ticket, "late", 9000), At(0));
  int late = 0;
  for (int turn = 0; turn < 40; ++turn)
    late += *queue.Pop(At(0), shed) >= 1000 ? 1 : 0;
  CHECK(late >= 19);
  CHECK(late <= 21);
}

// Guards against requests that are lost in the queue or leave it twice.
TEST_CASE("every ticket leaves the queue exactly once") {
  AdmissionQueue queue({.maximum_length = 20});
  queue.RecordService(milliseconds(10));
  std::map<std::uint64_t, int> left;
  for (std::uint64_t ticket = 0; ticket < 100; ++ticket) {
    const auto deadline = static_cast<int>(ticket * 7 % 60);
    for (const ShedRequest& shed :
         queue.Push(Request(ticket, ticket % 3 == 0 ? "a" : "b", deadline),
                    At(static_cast<int>(ticket) / 4)))
      ++left[shed.ticket];
  }
  if (queue.Remove(99))
    ++left[99];
  std::vector<ShedRequest> shed;
  while (const auto ticket = queue.Pop(At(30), shed))
    ++left[*ticket];
  for (const ShedRequest& one : shed)
    ++left[one.ticket];
  CHECK(left.size() == 100);
  for (const auto& [ticket, times] : left)
    CHECK(times == 1);
  CHECK(queue.size() == 0);
}

}  // namespace wigeonstair::routing
