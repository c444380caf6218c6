#include <catch2/catch.hpp>

#include "platform/caller_interface.h"
#include "platform/configuration_codec.h"
#include "platform/job_codec.h"
#include "platform/settings.h"
#include "platform/worker_codec.h"

namespace wigeonstair::platform {

namespace {

template <typename Callable>
bool Fails(Callable&& callable) {
  return std::holds_alternative<base::Error>(base::Capture(callable));
}

constexpr char kConfiguration[] =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h.example",)"
    R"("PathPrefix":"/a/","Kind":"non_idempotent","TimeoutMs":3000,)"
    R"("CompletionTargetMs":250,"Priority":0,"Service":"s","MaxAttempts":2,)"
    R"("Stretch":1.5,"Public":false}],"Services":[{"Name":"s"}],)"
    R"("Limits":{},"Tenants":[{"Name":"t","ApiKeys":["k1","k2"],)"
    R"("Guaranteed":{"Gpu":72}}]})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

constexpr char kReport[] =
    R"({"Service":"s","Address":"10.128.0.9:8080","Zone":"z","Version":"v1",)"
    R"("Slots":8,"State":"ready","ColdRemainingMs":0,"Capacity":{"Cpu":16000,)"
    R"("MemMb":32768,"Gpu":8},"Labels":["a","r1-3"],"ClockMs":482113,)"
    R"("Seq":4,"born":1700000000000})";

// Milliseconds since the Unix epoch.
constexpr std::uint64_t kNowMs = 1'700'000'100'000;

net::HttpResponse ListsOf(const std::string& running,
                          const std::string& finished,
                          std::uint64_t clock_ms = 9) {
  return {.status = 200,
          .body = R"({"born":5,"ClockMs":)" + std::to_string(clock_ms) +
                  R"(,"Running":[)" + running + R"(],"Finished":[)" + finished +
                  "]}"};
}

}  // namespace

// Guards against a conversion out of range, which read 2^32 + 1 as attempt 1.
TEST_CASE("a listed attempt above 32 bits is not taken for another attempt") {
  const auto answer = DecodeHoldAnswer(
      ListsOf(R"(["5c0e7a21d94b36f8.0.1.17",4294967297,"",41])",
              R"([58,"5c0e7a21d94b36f8.0.1.9",4294967297,"done",""])"),
      0);
  REQUIRE(answer.lists);
  CHECK(answer.lists->running.empty());
  CHECK(answer.lists->ended.empty());
  CHECK(answer.lists->malformed_rows == 2);
}

// Guards against an undefined conversion, and against a second start of a run
// whose row was skipped although it names the run.
TEST_CASE("a listed run with unreadable progress is still listed") {
  for (const char* percent :
       {"-1", "1e300", "101", "4294967337", "\"41\"", "null", "[]"}) {
    INFO(percent);
    const auto answer = DecodeHoldAnswer(
        ListsOf(std::string(R"(["5c0e7a21d94b36f8.0.1.17",2,"00ab",)") +
                    percent + "]",
                ""),
        0);
    REQUIRE(answer.lists);
    REQUIRE(answer.lists->running.size() == 1);
    CHECK(answer.lists->running[0].percent <= 100);
    CHECK(answer.lists->running[0].checkpoint == "00ab");
    CHECK(answer.lists->malformed_rows == 1);
  }
  const auto answer =
      DecodeHoldAnswer(ListsOf(R"(["5c0e7a21d94b36f8.0.1.17",2,7,41])", ""), 0);
  REQUIRE(answer.lists);
  REQUIRE(answer.lists->running.size() == 1);
  CHECK(answer.lists->running[0].checkpoint.empty());
}

// Guards against an acknowledged number after which the worker's later ends are
// taken for old ones.
TEST_CASE("an end that is numbered far beyond the others is skipped") {
  const std::string honest = R"([58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                             R"([60,"5c0e7a21d94b36f8.0.1.8",1,"done",""])";
  for (const char* number : {"18446744073709551615", "9000000000000000000",
                             "18446744073709551616", "1000000"}) {
    INFO(number);
    const auto answer = DecodeHoldAnswer(
        ListsOf("", std::string("[") + number +
                        R"(,"5c0e7a21d94b36f8.0.1.7",1,"done",""],)" + honest),
        0);
    REQUIRE(answer.lists);
    REQUIRE(answer.lists->ended.size() == 2);
    CHECK(answer.lists->ended[0].number == 58);
    CHECK(answer.lists->ended[1].number == 60);
    CHECK(answer.lists->malformed_rows == 1);
  }
  // Alone in its list, it is compared with the ends that were acknowledged.
  const std::string row = R"([1000000,"5c0e7a21d94b36f8.0.1.7",1,"done",""])";
  constexpr std::uint64_t kOldWorkerMs = 1'000'000;
  const net::HttpResponse alone = ListsOf("", row, kOldWorkerMs);
  CHECK(DecodeHoldAnswer(alone, 57).lists->ended.empty());
  // A new leader does not know the numbers of its predecessor.
  CHECK(DecodeHoldAnswer(alone, 0).lists->ended.size() == 1);
  CHECK(DecodeHoldAnswer(alone, 999'000).lists->ended.size() == 1);
  // No worker has ended that many runs in the 20 s of its life.
  const auto young = DecodeHoldAnswer(ListsOf("", row, 20'000), 0);
  CHECK(young.lists->ended.empty());
  CHECK(young.lists->malformed_rows == 1);
}

TEST_CASE("a step index above 32 bits is not taken for an earlier step") {
  CHECK(Fails([] {
    return DecodeJob(
        R"({"Steps":[{"Count":1},{"Count":1,"DependsOn":[4294967296]}]})");
  }));
}

TEST_CASE("a configuration is decoded into queues and customers") {
  const auto configuration = DecodeConfiguration(kConfiguration).value();
  CHECK(configuration.version == 7);
  CHECK(configuration.queues[0].policy ==
        jobs::QueuePolicy{.priority = 0,
                          .max_attempts = 2,
                          .stretch = 1.5,
                          .completion_target_ms = 250});
  CHECK(configuration.customers[0].guaranteed_accelerators == 72);
  CHECK(configuration.FindCustomer("k2") != nullptr);
}

TEST_CASE("a malformed or inconsistent configuration is rejected") {
  const std::string good = kConfiguration;
  const std::string route =
      good.substr(good.find(R"({"Name":"r")"),
                  good.find("],\"Services\"") - good.find(R"({"Name":"r")"));
  const std::string wrong[] = {
      "",
      good.substr(0, good.size() / 2),
      "[]",
      Replaced(good, R"("Service":"s","MaxAttempts")",
               R"("Service":"x","MaxAttempts")"),
      Replaced(good, R"("TimeoutMs":3000)", R"("TimeoutMs":0)"),
      Replaced(good, R"("Version":7)", R"("Version":"7")"),
      Replaced(good, R"("Stretch":1.5)", R"("Stretch":-1)"),
      Replaced(good, R"("Stretch":1.5)", R"("Stretch":1e300)"),
      Replaced(good, R"("Stretch":1.5)", R"("Stretch":1e400)"),
      Replaced(good, R"("Gpu":72)", R"("Gpu":18446744073709551615)"),
      Replaced(good, route, route + "," + route),
      Replaced(good, R"({"Name":"t")",
               R"({"Name":"u","ApiKeys":["k1"]},{"Name":"t")")};
  for (const std::string& text : wrong) {
    INFO(text);
    CHECK(Fails([&] { return DecodeConfiguration(text); }));
  }
}

TEST_CASE("the weight and the cap of a customer are decoded") {
  const std::string good =
      Replaced(kConfiguration, R"("Guaranteed")",
               R"("Weight":4,"Cap":{"Cpu":2436470,"MemMb":5589781,"Gpu":572},)"
               R"("Guaranteed")");
  const auto customer = DecodeConfiguration(good).value().customers[0];
  CHECK(customer.weight == 4);
  CHECK(customer.cap == jobs::Resources{.cpu = 2436470,
                                        .memory_mb = 5589781,
                                        .accelerators = 572});
  // A dimension that is left out has no limit, and so has a customer without.
  CHECK(DecodeConfiguration(Replaced(good, R"("MemMb":5589781,)", ""))
            .value()
            .customers[0]
            .cap == jobs::Resources{.cpu = 2436470, .accelerators = 572});
  const auto plain = DecodeConfiguration(kConfiguration).value().customers[0];
  CHECK(plain.weight == 1);
  CHECK(plain.cap == jobs::Resources{});
  // Not among what makes a configuration invalid.
  CHECK(DecodeConfiguration(Replaced(good, R"("Weight":4)", R"("Weight":0)"))
            .value()
            .customers[0]
            .weight == 0);
}

TEST_CASE("a weight or cap out of range is refused and its field named") {
  const std::string good =
      Replaced(kConfiguration, R"("Guaranteed")",
               R"("Weight":4,"Cap":{"Cpu":5,"MemMb":6,"Gpu":7},"Guaranteed")");
  const std::pair<const char*, std::string> wrong[] = {
      {"'Weight'", Replaced(good, R"("Weight":4)", R"("Weight":-1)")},
      {"'Weight'", Replaced(good, R"("Weight":4)", R"("Weight":1e300)")},
      {"'Weight'", Replaced(good, R"("Weight":4)", R"("Weight":"4")")},
      {"'Cap'", Replaced(good, R"({"Cpu":5,"MemMb":6,"Gpu":7})", "7")},
      {"'Cpu'", Replaced(good, R"("Cpu":5)", R"("Cpu":-5)")},
      {"'MemMb'", Replaced(good, R"("MemMb":6)", R"("MemMb":6.5)")},
      {"'Gpu'", Replaced(good, R"("Gpu":7)", R"("Gpu":18446744073709551615)")}};
  for (const auto& [field, text] : wrong) {
    INFO(text);
    const auto decoded = base::Capture(
        [&, &document = text] { return DecodeConfiguration(document); });
    const auto* error = std::get_if<base::Error>(&decoded);
    REQUIRE(error != nullptr);
    CHECK(error->detail.find(field) != std::string::npos);
  }
}

// Guards against sums that overflow, and against a job whose tasks fill the
// memory of each host that leads.
TEST_CASE("a job with a value out of range is rejected") {
  const std::string good =
      R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":1}],)"
      R"("RepeatCount":3,"StartAtMs":5,"IntervalMs":7})";
  REQUIRE_FALSE(Fails([&] { return DecodeJob(good); }));
  std::string large = R"({"RepeatCount":10000,"StartAtMs":1,"Steps":[)";
  for (int i = 0; i < 64; ++i)
    large += std::string(i == 0 ? "" : ",") + R"({"Count":10000})";
  large += "]}";
  const std::string wrong[] = {
      Replaced(good, R"("Gpu":1)", R"("Gpu":18446744073709551615)"),
      Replaced(good, R"("Cpu":500)", R"("Cpu":9223372036854775808)"),
      Replaced(good, R"("MemMb":256)", R"("MemMb":1e300)"),
      Replaced(good, R"("StartAtMs":5)", R"("StartAtMs":18446744073709551615)"),
      Replaced(good, R"("IntervalMs":7)",
               R"("IntervalMs":9223372036854775808)"),
      large};
  for (const std::string& text : wrong) {
    INFO(text.substr(0, 200));
    CHECK(Fails([&] { return DecodeJob(text); }));
  }
}

TEST_CASE("a job is decoded with the defaults of omitted fields") {
  const auto job =
      DecodeJob(R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
                R"("EstimateMs":900,"DataRack":"r1-3"},{"Count":2,"Gpu":8,)"
                R"("Gang":true,"RackLocal":true,"DependsOn":[0],)"
                R"("Checkpointing":true}],"RepeatCount":3,"StartAtMs":5,)"
                R"("IntervalMs":7})")
          .value();
  CHECK(job.steps[0].data_rack == "r1-3");
  CHECK_FALSE(job.steps[0].gang);
  CHECK(job.steps[1].gang);
  CHECK(job.steps[1].task.accelerators == 8);
  CHECK(job.steps[1].depends_on == std::vector<std::uint32_t>{0});
  CHECK(job.occurrences() == 3);
  for (const char* wrong :
       {"", "{", "7", R"({"Steps":[{"Count":"4"}]})", R"({"Steps":[7]})",
        R"({"Steps":[{"Count":1,"DependsOn":[-1]}]})",
        R"({"Steps":[{"Count":99999999999}]})"}) {
    INFO(wrong);
    CHECK(Fails([&] { return DecodeJob(wrong); }));
  }
}

TEST_CASE("task names round-trip, and malformed names are rejected") {
  const jobs::TaskRef task{.job = base::JobId("5c0e7a21d94b36f8"),
                           .occurrence = 1,
                           .step = 2,
                           .index = 17};
  CHECK(EncodeTask(task) == "5c0e7a21d94b36f8.1.2.17");
  CHECK(DecodeTask(EncodeTask(task)) == task);
  for (const char* wrong : {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3",
                            "a.1.2.-3", "a.1..3"}) {
    CHECK_FALSE(DecodeTask(wrong));
  }
}

TEST_CASE("a worker report is decoded with incarnation, rack and capacity") {
  const auto report = DecodeReport("i-1", kReport, kNowMs).value();
  CHECK(report.worker.incarnation ==
        jobs::WorkerIncarnation{.id = base::WorkerId("i-1"),
                                .born = 1700000000000});
  CHECK(report.worker.rack == base::RackId("r1-3"));
  CHECK(report.worker.capacity.accelerators == 8);
  CHECK(report.clock_ms == 482113);
}

TEST_CASE("a malformed worker report is rejected") {
  const std::string good = kReport;
  const std::string wrong[] = {"",
                               "\x01\x02",
                               Replaced(good, R"("ready")", R"("resting")"),
                               Replaced(good, R"("Seq":4)", R"("Seq":"4")"),
                               Replaced(good, R"(,"born":1700000000000)", ""),
                               Replaced(good, "10.128.0.9:8080", "nowhere"),
                               Replaced(good, R"("Capacity":{"Cpu":16000,)",
                                        R"("Capacity":[{"Cpu":1,)")};
  for (const std::string& text : wrong) {
    INFO(text);
    CHECK(Fails([&] { return DecodeReport("i-1", text, kNowMs); }));
  }
}

TEST_CASE("malformed rows in a worker's task lists are counted and skipped") {
  const auto answer = DecodeHoldAnswer(
      {.status = 200,
       .body = R"({"born":5,"ClockMs":9,"Running":[)"
               R"(["5c0e7a21d94b36f8.0.1.17",2,"00ab",41],)"
               R"(["5c0e7a21d94b36f8.0.1.18",2,"",41,7],["x",1,"",0],7],)"
               R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
               R"([59,"5c0e7a21d94b36f8.0.1.9",1,"vanished",""]]})"},
      0);
  REQUIRE(answer.lists);
  CHECK(answer.lists->running.size() == 2);
  CHECK(answer.lists->running[0].percent == 41);
  REQUIRE(answer.lists->ended.size() == 1);
  CHECK(answer.lists->ended[0].outcome == jobs::ListedOutcome::kDone);
  CHECK(answer.lists->malformed_rows == 3);
  CHECK_FALSE(DecodeHoldAnswer({.status = 200, .body = "{}"}, 0).lists);
  CHECK(DecodeHoldAnswer({.status = 409}, 0).fenced);
}

// Guards against a parser or a destructor that runs out of stack.
TEST_CASE("deeply nested documents are rejected") {
  constexpr int kLevels = 300'000;
  std::string arrays(kLevels, '[');
  std::string objects;
  for (int i = 0; i < kLevels; ++i)
    objects += R"({"a":)";
  const std::string documents[] = {
      arrays, arrays + "7" + std::string(kLevels, ']'),
      objects + "7" + std::string(kLevels, '}'), objects};
  for (const std::string& nested : documents) {
    for (const std::string& text :
         {nested, R"({"Labels":)" + nested + "}",
          R"({"born":5,"ClockMs":9,"Running":[)" + nested + "]}"}) {
      CHECK(Fails([&] { return DecodeReport("i-1", text, kNowMs); }));
      CHECK(Fails([&] { return DecodeJob(text); }));
      CHECK(Fails([&] { return DecodeConfiguration(text); }));
      CHECK_FALSE(DecodeHoldAnswer({.status = 200, .body = text}, 0).lists);
      CHECK_FALSE(
          DecodeCallAnswer({.status = 200, .body = text}).clock_ms.has_value());
    }
  }
}

TEST_CASE("a clock that a lease cannot be added to is not used") {
  for (const char* clock : {"18446744073709551615", "1e400", "-1", "\"9\""}) {
    INFO(clock);
    const std::string body = std::string(R"({"ClockMs":)") + clock + "}";
    CHECK_FALSE(
        DecodeCallAnswer({.status = 200, .body = body}).clock_ms.has_value());
    CHECK_FALSE(
        DecodeHoldAnswer(
            {.status = 200, .body = R"({"born":5,)" + body.substr(1)}, 0)
            .lists.has_value());
  }
}

TEST_CASE("worker responses are mapped by status and refusal reason") {
  const auto result = [](int status, const std::string& body) {
    return DecodeCallAnswer({.status = status, .body = body}).result;
  };
  CHECK(result(200, R"({"ClockMs":1})") == jobs::CallResult::kAccepted);
  CHECK(result(409, R"({"ClockMs":1,"Reason":"fence"})") ==
        jobs::CallResult::kFenced);
  CHECK(result(409, R"({"ClockMs":1,"Reason":"old"})") ==
        jobs::CallResult::kStaleAttempt);
  CHECK(result(409, R"({"ClockMs":1,"Reason":"late"})") ==
        jobs::CallResult::kStartExpired);
  CHECK(result(409, R"({"ClockMs":1,"Reason":"room"})") ==
        jobs::CallResult::kNoCapacity);
  CHECK(result(503, "") == jobs::CallResult::kUnhealthy);
  CHECK(result(421, "") == jobs::CallResult::kRefused);
}

TEST_CASE("an unexpected status does not prove that a start had no effect") {
  for (const int status : {204, 302, 408, 500, 502, 504}) {
    INFO(status);
    CHECK(DecodeCallAnswer({.status = status, .body = "{}"}).result ==
          jobs::CallResult::kUnanswered);
  }
}

// A refusal promises that the job never runs. A 503 for a call that may have
// reached a scheduler would break that promise; such a call must return 504.
TEST_CASE("an unanswered call is refused only when nothing was sent") {
  const auto status = [](jobs::ReplyStatus reply, jobs::Delivery delivery) {
    return EncodeReply({.reply = {.status = reply}, .delivery = delivery})
        .status;
  };
  using jobs::Delivery;
  using jobs::ReplyStatus;
  CHECK(status(ReplyStatus::kUnavailable, Delivery::kNothingSent) == 503);
  CHECK(status(ReplyStatus::kUnavailable, Delivery::kMaybeSent) == 504);
  CHECK(status(ReplyStatus::kUnknown, Delivery::kMaybeSent) == 504);
  CHECK(status(ReplyStatus::kNoJob, Delivery::kMaybeSent) == 410);
  CHECK(status(ReplyStatus::kUnauthorized, Delivery::kMaybeSent) == 401);
  CHECK(EncodeReply({.reply = {.status = ReplyStatus::kRefused,
                               .retry_after_ms = 1200}})
            .headers.at("Retry-After") == "2");
}

TEST_CASE("settings are decoded, and a missing field is named") {
  const std::string text =
      R"({"NodeName":"core-1","Ip":"10.1.0.21","Zone":"z","ListenAddrs":)"
      R"({"Control":"10.1.0.21:8526"},"InternalPorts":[7000,7015],)"
      R"("Seeds":["10.1.0.21:8526","10.2.0.38:8526"],"Bootstrap":true,)"
      R"("DataDir":"/data/x","HeartbeatMs":1500,"FaultTolerance":{"Machines":2},"Bounds":{"GraceS":6,)"
      R"("HoldMaxMs":10000,"GangWaitMs":3000,"StopMs":400,"RemoteFactor":3}})";
  const Settings settings = DecodeSettings(text).value();
  CHECK(settings.messages.ToString() == "10.1.0.21:7000");
  CHECK(settings.SeedMessageAddresses() ==
        std::vector<std::string>{"10.1.0.21:7000", "10.2.0.38:7000"});
  CHECK(settings.start == scheduler::GroupStart::kNew);
  CHECK(settings.dispatcher.longest_lease == std::chrono::seconds(10));
  CHECK(settings.tolerated_losses == 2);
  const auto wrong = base::Capture(
      [&] { return DecodeSettings(Replaced(text, R"("Zone":"z",)", "")); });
  CHECK(std::get<base::Error>(wrong).detail.find("Zone") != std::string::npos);
}

TEST_CASE("a method for run times that does not exist is named") {
  CHECK(std::holds_alternative<jobs::LearnedRunTimes>(
      DecodeRunTimeMethod("learned").value()));
  const auto wrong =
      base::Capture([] { return DecodeRunTimeMethod("lerned"); });
  CHECK(std::get<base::Error>(wrong).detail.find("lerned") !=
        std::string::npos);
}

}  // namespace wigeonstair::platform
