#include "net/request_reader.h"

#include <cpprest/base_uri.h>

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace wigeonstair::net {

namespace {

namespace http = boost::beast::http;

using boost::beast::string_view;
using boost::system::error_code;

constexpr std::size_t kRequestLineBytes = 8UL * 1024;
// Of a header field besides its name and value: line end and separators.
constexpr std::size_t kFieldOverheadBytes = 4;
// Memory of a header field in a map besides its name and value.
constexpr std::size_t kFieldMemoryBytes = 112;
constexpr std::size_t kDefaultOverheadFactor = 8;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string ToString(string_view text) {
  return {text.data(), text.size()};
}

bool HasControlCharacter(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20;
  });
}

bool SameWord(std::string_view left, std::string_view right) {
  return !HeaderNameLess()(left, right) && !HeaderNameLess()(right, left);
}

}  // namespace

// Stores what Beast finds in the bytes.
class RequestReader::Parser final : public http::basic_parser<true> {
 public:
  HttpRequest request;
  std::string target;
  // 10 or 11.
  int version = 0;
  std::size_t header_bytes = 0;
  std::size_t header_memory = 0;

 private:
  void on_request_impl(http::verb,
                       string_view method,
                       string_view request_target,
                       int http_version,
                       error_code& error) override {
    version = http_version;
    request.method = ToString(method);
    target = ToString(request_target);
    error = {};
  }
  void on_response_impl(int, string_view, int, error_code& error) override {
    error = http::error::bad_method;
  }
  void on_field_impl(http::field,
                     string_view name,
                     string_view value,
                     error_code& error) override {
    error = {};
    header_bytes += name.size() + value.size() + kFieldOverheadBytes;
    const auto [field, added] =
        request.headers.try_emplace(ToString(name), ToString(value));
    if (added)
      header_memory += name.size() + value.size() + kFieldMemoryBytes;
    else
      field->second.append(", ").append(value.data(), value.size());
  }
  void on_header_impl(error_code& error) override { error = {}; }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code& error) override {
    // Memory is taken for received bytes only, not for announced ones.
    error = {};
  }
  std::size_t on_body_impl(string_view body, error_code& error) override {
    error = {};
    request.body.append(body.data(), body.size());
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t,
                            string_view,
                            error_code& error) override {
    error = {};
  }
  std::size_t on_chunk_body_impl(std::uint64_t,
                                 string_view body,
                                 error_code& error) override {
    return on_body_impl(body, error);
  }
  void on_finish_impl(error_code& error) override { error = {}; }
};

RequestReader::RequestReader(const RequestLimits& limits) : limits_(limits) {
  if (limits_.chunk_overhead_bytes == 0)
    limits_.chunk_overhead_bytes = kDefaultOverheadFactor * limits_.body_bytes;
}

RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader&&) noexcept = default;
RequestReader& RequestReader::operator=(RequestReader&&) noexcept = default;

RequestReader::State RequestReader::Feed(std::string_view bytes) {
  if (state_ == State::kWhole || state_ == State::kRefused)
    return state_;
  if (pending_.empty()) {
    const std::size_t used = Consume(bytes);
    if (state_ != State::kRefused && used < bytes.size())
      pending_.assign(bytes.substr(used));
    return state_;
  }
  pending_.append(bytes);
  const std::size_t used = Consume(pending_);
  pending_.erase(0, used);
  if (state_ == State::kRefused || pending_.empty())
    pending_ = std::string();
  return state_;
}

std::size_t RequestReader::Consume(std::string_view bytes) {
  std::size_t used = 0;
  if (state_ == State::kEmpty)
    used += SkipEmptyLines(bytes);
  if (state_ == State::kHead)
    used += ConsumeHead(bytes.substr(used));
  if (state_ == State::kBody && used < bytes.size())
    used += ConsumeBody(bytes.substr(used));
  return used;
}

std::size_t RequestReader::SkipEmptyLines(std::string_view bytes) {
  const std::size_t count =
      std::min(bytes.find_first_not_of("\r\n"), bytes.size());
  empty_line_bytes_ += count;
  if (empty_line_bytes_ > limits_.empty_line_bytes)
    Refuse(400, "empty_lines", "too many empty lines before the request");
  else if (count < bytes.size())
    state_ = State::kHead;
  return count;
}

std::size_t RequestReader::ConsumeHead(std::string_view bytes) {
  const std::size_t limit = limits_.head_bytes + kRequestLineBytes;
  const std::size_t end = bytes.find(kHeadEnd, head_searched_);
  const bool found = end != std::string_view::npos;
  const std::size_t size = found ? end + kHeadEnd.size() : bytes.size();
  if (size > limit) {
    Refuse(431, "head_bytes", "the headers are larger than the limit");
    return 0;
  }
  if (!found) {
    head_searched_ = bytes.size() - std::min(bytes.size(), kHeadEnd.size() - 1);
    return 0;
  }
  parser_ = std::make_unique<Parser>();
  parser_->header_limit(static_cast<std::uint32_t>(limit + 1));
  parser_->body_limit(limits_.body_bytes);
  parser_->eager(true);
  error_code error;
  parser_->put(boost::asio::const_buffer(bytes.data(), size), error);
  if (error == http::error::bad_version) {
    Refuse(505, "malformed", "only HTTP/1.0 and HTTP/1.1 are supported");
  } else if (error == http::error::body_limit) {
    Refuse(413, "body_bytes", "the body is larger than the limit");
  } else if (error) {
    Refuse(400, "malformed", error.message());
  } else {
    CheckHead();
  }
  return size;
}

void RequestReader::CheckHead() {
  HttpRequest& request = parser_->request;
  try {
    const web::uri uri(parser_->target);
    request.path = web::uri::decode(uri.path());
    request.query = uri.query();
  } catch (const std::exception& exception) {
    return Refuse(400, "malformed", exception.what());
  }
  if (HasControlCharacter(request.path)) {
    return Refuse(400, "malformed", "the path contains a control character");
  }
  if (parser_->header_bytes > limits_.head_bytes) {
    return Refuse(431, "head_bytes", "the headers are larger than the limit");
  }
  const std::string_view coding =
      HeaderValue(request.headers, "Transfer-Encoding");
  const bool is_http_1_1 = parser_->version == 11;
  if (request.headers.contains("Transfer-Encoding") &&
      !(is_http_1_1 && parser_->chunked() && SameWord(coding, "chunked"))) {
    return Refuse(411, "malformed", "Content-Length is required");
  }
  if (parser_->is_done()) {
    state_ = State::kWhole;
    return;
  }
  state_ = State::kBody;
  continue_expected_ =
      is_http_1_1 &&
      SameWord(HeaderValue(request.headers, "Expect"), "100-continue");
}

std::size_t RequestReader::ConsumeBody(std::string_view bytes) {
  continue_expected_ = false;
  error_code error;
  const std::size_t used = parser_->put(
      boost::asio::const_buffer(bytes.data(), bytes.size()), error);
  raw_body_bytes_ += used;
  const std::size_t overhead = raw_body_bytes_ - parser_->request.body.size();
  if (error == http::error::body_limit) {
    Refuse(413, "body_bytes", "the body is larger than the limit");
  } else if (error && error != http::error::need_more) {
    Refuse(400, "malformed", error.message());
  } else if (overhead > limits_.chunk_overhead_bytes ||
             (error && bytes.size() - used > limits_.head_bytes)) {
    Refuse(413, "chunk_overhead",
           "the chunks of the body are larger than the limit");
  } else if (parser_->is_done()) {
    state_ = State::kWhole;
  }
  return used;
}

RequestReader::State RequestReader::End() {
  if (state_ == State::kHead || state_ == State::kBody)
    Refuse(400, "incomplete", "the request is incomplete");
  return state_;
}

ReceivedRequest RequestReader::Take() {
  ReceivedRequest received{.request = std::move(parser_->request),
                           .keep_alive = parser_->keep_alive(),
                           .bytes = bytes_held() - pending_.capacity()};
  received.bytes += received.request.body.capacity();
  parser_.reset();
  state_ = State::kEmpty;
  empty_line_bytes_ = 0;
  head_searched_ = 0;
  raw_body_bytes_ = 0;
  return received;
}

std::size_t RequestReader::bytes_held() const {
  std::size_t bytes = pending_.capacity();
  if (parser_) {
    bytes += sizeof(Parser) + parser_->header_memory +
             parser_->target.capacity() + parser_->request.body.capacity();
  }
  return bytes;
}

bool RequestReader::TakeContinue() {
  return std::exchange(continue_expected_, false);
}

void RequestReader::Refuse(int status,
                           std::string_view reason,
                           std::string detail) {
  state_ = State::kRefused;
  refusal_ = {.status = status, .reason = reason, .detail = std::move(detail)};
  parser_.reset();
}

}  // namespace wigeonstair::net
