#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "base/random.h"
#include "services/entry/caller_request.h"
#include "tests/entry/fakes.h"

namespace wigeonstair::entry {

namespace {

struct Malformed {
  std::string name;
  net::HttpRequest request;
  int status = 400;
};

net::HttpRequest With(net::HttpRequest request,
                      const std::string& header,
                      const std::string& value) {
  request.headers[header] = value;
  return request;
}

net::HttpRequest Announce(const std::string& body,
                          const std::string& id = "u1") {
  return {.method = "PUT", .path = "/v1/upstreams/" + id, .body = body};
}

constexpr char kGoodAnnounce[] =
    R"({"service":"s","domain":"d1","address":"127.0.0.1:9","slots":8,)"
    R"("connections":64,"incarnation":1})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t found = text.find(from);
  REQUIRE(found != std::string::npos);
  return text.replace(found, from.size(), to);
}

std::vector<Malformed> MalformedRequests(Harness& harness) {
  const net::HttpRequest credit = CreditRequest(harness, "key-0001");
  const std::string good = kGoodAnnounce;
  const std::string deep(5000, '[');
  return {
      {"no customer", With(Get(), "Wigeonstair-Customer", "")},
      {"customer", With(Get(), "Wigeonstair-Customer", "a b")},
      {"deadline zero", With(Get(), "Wigeonstair-Deadline-Ms", "0")},
      {"deadline large", With(Get(), "Wigeonstair-Deadline-Ms", "60001")},
      {"deadline sign", With(Get(), "Wigeonstair-Deadline-Ms", "+5")},
      {"deadline text", With(Get(), "Wigeonstair-Deadline-Ms", "5s")},
      {"deadline overflow",
       With(Get(), "Wigeonstair-Deadline-Ms", "99999999999999999999")},
      {"idempotent", With(Get(), "Wigeonstair-Idempotent", "yes")},
      {"no key", With(credit, "Request-Key", "")},
      {"short key", With(credit, "Request-Key", "1234567")},
      {"long key", With(credit, "Request-Key", std::string(129, 'k'))},
      {"key", With(credit, "Request-Key", "key 0001")},
      {"no issued", With(credit, "Request-Issued", "")},
      {"issued", With(credit, "Request-Issued", "-5")},
      {"issued fraction", With(credit, "Request-Issued", "1.5")},
      {"no service", {.method = "GET", .path = "/v1/services/"}},
      {"service", {.method = "GET", .path = "/v1/services/a b/x"}},
      {"path", {.method = "GET", .path = "/v2/x"}, 404},
      {"method", {.method = "POST", .path = "/healthz"}, 405},
      {"upstream action", {.method = "POST", .path = "/v1/upstreams/u/x"}, 404},
      {"upstream method", {.method = "GET", .path = "/v1/upstreams/u"}, 405},
      {"upstream id", Announce(good, "u 1")},
      {"upstream no id", Announce(good, "")},
      {"upstream long id", Announce(good, std::string(129, 'u'))},
      {"empty body", Announce("")},
      {"not JSON", Announce("{")},
      {"array", Announce("[]")},
      {"null", Announce("null")},
      {"deep", Announce(deep)},
      {"rest", Announce(good + "x")},
      {"not UTF-8", Announce(Replaced(good, "\"s\"", "\"\xff\""))},
      {"no slots", Announce(Replaced(good, "slots", "slot"))},
      {"slots text", Announce(Replaced(good, ":8,", ":\"8\","))},
      {"slots zero", Announce(Replaced(good, ":8,", ":0,"))},
      {"slots fraction", Announce(Replaced(good, ":8,", ":8.5,"))},
      {"slots large", Announce(Replaced(good, ":8,", ":1e300,"))},
      {"connections", Announce(Replaced(good, ":64,", ":-64,"))},
      {"incarnation", Announce(Replaced(good, ":1}", ":-1}"))},
      {"other domain", Announce(Replaced(good, "d1", "d2"))},
      {"address name", Announce(Replaced(good, "127.0.0.1", "localhost"))},
      {"address parts", Announce(Replaced(good, "127.0.0.1", "127.0.1"))},
      {"address value", Announce(Replaced(good, "127.0.0.1", "127.0.0.256"))},
      {"address port", Announce(Replaced(good, ":9\"", ":65536\""))},
      {"heartbeat unknown",
       {.method = "POST",
        .path = "/v1/upstreams/u9/heartbeat",
        .body = R"({"incarnation":1})"},
       404},
  };
}

}  // namespace

// Guards against malformed input that is accepted or gets the wrong status.
TEST_CASE("malformed requests are refused with their status") {
  Harness harness;
  for (const Malformed& one : MalformedRequests(harness)) {
    INFO(one.name);
    CHECK(harness.Call(one.request).status == one.status);
  }
  CHECK(harness.upstreams.pending.empty());
  CHECK(harness.Call(Announce(kGoodAnnounce)).status == 200);
}

// Guards against a crash, a hang or a missing answer on arbitrary input.
TEST_CASE("mutated requests are answered") {
  Harness harness;
  harness.AddUpstream("u1");
  base::Random random(20261204);
  const std::vector<net::HttpRequest> seeds = {
      Announce(kGoodAnnounce),
      Get("/a%20b?x=1"),
      CreditRequest(harness, "key-0001"),
      {.method = "POST",
       .path = "/v1/upstreams/u1/heartbeat",
       .body = R"({"incarnation":1})"}};
  const auto mutate = [&](std::string& text) {
    const std::uint64_t at = random.Below(text.size() + 1);
    const auto byte = static_cast<char>(random.Below(256));
    if (random.Below(3) == 0)
      text.insert(static_cast<std::size_t>(at), 1, byte);
    else if (at < text.size() && random.Below(2) == 0)
      text.erase(static_cast<std::size_t>(at), 1 + random.Below(8));
    else if (at < text.size())
      text[static_cast<std::size_t>(at)] = byte;
  };
  for (int round = 0; round < 20'000; ++round) {
    net::HttpRequest request = seeds[random.Below(seeds.size())];
    for (std::uint64_t count = random.Below(4) + 1; count > 0; --count) {
      mutate(random.Below(2) == 0 ? request.body : request.path);
      for (auto& [name, value] : request.headers) {
        if (random.Below(6) == 0)
          mutate(value);
      }
    }
    const auto answer = harness.Start(request);
    while (!harness.upstreams.pending.empty())
      harness.upstreams.Take().done(NotSent());
    REQUIRE(answer->has_value());
    REQUIRE((*answer)->status >= 200);
    REQUIRE((*answer)->status < 600);
  }
}

// Guards against sending the upstream a path other than the caller's.
TEST_CASE("decoded paths are percent-encoded for the upstream") {
  CHECK(EncodePath("/a b/\xc3\xa9?#%") == "/a%20b/%C3%A9%3F%23%25");
  CHECK(EncodePath("/a-b_c.d~e!$&'()*+,;=:@") == "/a-b_c.d~e!$&'()*+,;=:@");
}

}  // namespace wigeonstair::entry
