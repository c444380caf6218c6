#include "net/request_reader.h"

#include <catch2/catch.hpp>

#include <string>

namespace wigeonstair::net {

namespace {

using State = RequestReader::State;

constexpr std::size_t kMebibyte = 1024UL * 1024;

const std::string kChunkedHead =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

// Feeds the bytes in pieces and returns the state at the end.
State FeedPieces(RequestReader& reader,
                 const std::string& bytes,
                 std::size_t piece) {
  State state = reader.state();
  for (std::size_t begin = 0; begin < bytes.size(); begin += piece)
    state = reader.Feed(std::string_view(bytes).substr(begin, piece));
  return state;
}

// Feeds a piece again and again; returns how many bytes were taken before the
// request was refused, and the most memory that the reader held.
std::pair<std::size_t, std::size_t> FeedWithoutEnd(RequestReader& reader,
                                                   const std::string& piece) {
  std::size_t bytes = 0;
  std::size_t most = 0;
  while (bytes < 64 * kMebibyte && reader.state() != State::kRefused) {
    reader.Feed(piece);
    bytes += piece.size();
    most = std::max(most, reader.bytes_held());
  }
  return {bytes, most};
}

}  // namespace

// Guards against requests that depend on how the network cuts them.
TEST_CASE("a request is the same in pieces of any size") {
  const std::string bytes =
      "\r\nPOST /a%20b?c=d HTTP/1.1\r\nHost: h\r\nX: 1\r\nx: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nTrailer: t\r\n\r\n";
  for (std::size_t piece = 1; piece <= bytes.size(); ++piece) {
    INFO(piece);
    RequestReader reader({});
    REQUIRE(FeedPieces(reader, bytes, piece) == State::kWhole);
    const ReceivedRequest received = reader.Take();
    CHECK(received.request.method == "POST");
    CHECK(received.request.path == "/a b");
    CHECK(received.request.query == "c=d");
    CHECK(HeaderValue(received.request.headers, "X") == "1, 2");
    CHECK(received.request.body == "abcd");
    CHECK(received.keep_alive);
  }
}

// Guards against a second request that is lost, and against one whose bytes are
// taken for the body of the first.
TEST_CASE("requests that arrive together are read one after the other") {
  RequestReader reader({});
  REQUIRE(reader.Feed("POST /1 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"
                      "GET /2 HTTP/1.0\r\n\r\nGET /3 HT") == State::kWhole);
  CHECK(reader.Take().request.body == "ab");
  REQUIRE(reader.Feed({}) == State::kWhole);
  const ReceivedRequest second = reader.Take();
  CHECK(second.request.path == "/2");
  CHECK_FALSE(second.keep_alive);
  CHECK(reader.Feed({}) == State::kHead);
  CHECK(reader.Feed("TP/1.1\r\n\r\n") == State::kWhole);
}

// Guards against memory that grows with what a peer sends before a request is
// whole, in whatever pieces.
TEST_CASE("what is held of an unfinished request is bounded") {
  const RequestLimits limits{
      .head_bytes = 4096, .body_bytes = 8192, .empty_line_bytes = 64};
  // Strings that grow may hold twice their size; Beast's state comes on top.
  constexpr std::size_t kMostBytes = 32UL * 1024;
  const struct {
    std::string begin;
    std::string piece;
    int status;
  } cases[] = {
      {"", "\r\n", 400},
      {"", "x", 431},
      {"GET / HTTP/1.1\r\n", "X-A: b\r\n", 431},
      {"GET / HTTP/1.1\r\nX: ", "y", 431},
      {kChunkedHead, "1\r\nx\r\n", 413},
      {kChunkedHead, "1000\r\n" + std::string(4096, 'x') + "\r\n", 413},
      {kChunkedHead + "100000\r\n", "x", 413},
      {kChunkedHead + "1;", "a", 413},
      {kChunkedHead + "0\r\n", "A: b\r\n", 413},
      {"POST / HTTP/1.1\r\nContent-Length: 8193\r\n\r\n", "x", 413},
  };
  for (const auto& attack : cases) {
    INFO(attack.begin << attack.piece.substr(0, 8));
    RequestReader reader(limits);
    reader.Feed(attack.begin);
    const auto [bytes, most] = FeedWithoutEnd(reader, attack.piece);
    CHECK(reader.state() == State::kRefused);
    CHECK(reader.refusal().status == attack.status);
    CHECK(bytes < kMebibyte);
    CHECK(most <= kMostBytes);
  }
}

// Guards against memory that is taken for bytes which were only announced.
TEST_CASE("an announced body takes no memory before it arrives") {
  RequestReader reader({.body_bytes = 64 * kMebibyte});
  CHECK(reader.Feed("POST / HTTP/1.1\r\nContent-Length: 67108864\r\n\r\nx") ==
        State::kBody);
  CHECK(reader.bytes_held() < 8192);
}

// Guards against limits that refuse a request inside them.
TEST_CASE("a request just inside all limits is read") {
  const RequestLimits limits{
      .head_bytes = 4096, .body_bytes = 8192, .empty_line_bytes = 64};
  RequestReader reader(limits);
  std::string head = std::string(64, '\n') + kChunkedHead;
  // The field names and values with their separators make up the limit.
  const std::size_t used = std::string("Transfer-Encoding: chunked\r\n").size();
  head.insert(head.size() - 2,
              "X: " + std::string(4096 - used - 5, 'y') + "\r\n");
  std::string body;
  for (int i = 0; i < 8192; ++i)
    body += "1\r\nx\r\n";
  REQUIRE(FeedPieces(reader, head + body + "0\r\n\r\n", 100) == State::kWhole);
  CHECK(reader.Take().request.body.size() == 8192);
}

// Guards against requests whose end two readers see at different places.
TEST_CASE("a request with two lengths or an unknown coding is refused") {
  for (const char* fields :
       {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
        "Content-Length: 1\r\nContent-Length: 2\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"}) {
    INFO(fields);
    RequestReader reader({});
    reader.Feed(std::string("POST / HTTP/1.1\r\n") + fields + "\r\n");
    CHECK(reader.state() == State::kRefused);
  }
  RequestReader old({});
  old.Feed("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n");
  CHECK(old.refusal().status == 411);
}

// Guards against a sender that waits for ever before it sends its body.
TEST_CASE("a sender that waits to continue is told so once") {
  const std::string head =
      "POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n";
  RequestReader reader({});
  reader.Feed(head);
  CHECK(reader.TakeContinue());
  CHECK_FALSE(reader.TakeContinue());
  CHECK(reader.Feed("ab") == State::kWhole);
  RequestReader at_once({});
  at_once.Feed(head + "a");
  CHECK_FALSE(at_once.TakeContinue());
}

// Guards against a connection that ends in the middle of a request and is taken
// for an idle one.
TEST_CASE("a request that ends early is refused") {
  RequestReader reader({});
  CHECK(reader.End() == State::kEmpty);
  reader.Feed("GET / HT");
  CHECK(reader.End() == State::kRefused);
  CHECK(reader.refusal().status == 400);
}

}  // namespace wigeonstair::net
