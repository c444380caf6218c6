#ifndef WIGEONSTAIR_LIBRARIES_NET_REQUEST_READER_H_
#define WIGEONSTAIR_LIBRARIES_NET_REQUEST_READER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"

namespace wigeonstair::net {

// Bounds on one request, in bytes.
struct RequestLimits {
  // Names and values of all header fields. The request line may add 8 KiB.
  std::size_t head_bytes = 16UL * 1024;
  std::size_t body_bytes = 1024UL * 1024;
  // Sizes, extensions and line ends of chunks, and trailers. 0: eight times
  // `body_bytes`, which chunks of one byte stay below.
  std::size_t chunk_overhead_bytes = 0;
  // Empty lines before a request.
  std::size_t empty_line_bytes = 1024;
};

// Why a request was not served. It has not run.
struct Refusal {
  int status = 400;
  // A word for counters, such as "head_bytes".
  std::string_view reason;
  std::string detail;
};

struct ReceivedRequest {
  HttpRequest request;
  // Whether the connection may carry another request.
  bool keep_alive = false;
  // Memory that the request occupies.
  std::size_t bytes = 0;
};

// Turns the bytes of a connection into requests, however they are cut into
// pieces, and holds no more of them than the limits allow. Does no I/O.
class RequestReader {
 public:
  enum class State {
    // Nothing of a request has arrived.
    kEmpty,
    kHead,
    kBody,
    // Take() returns the request.
    kWhole,
    // No further bytes are looked at.
    kRefused,
  };

  explicit RequestReader(const RequestLimits& limits);
  ~RequestReader();
  RequestReader(RequestReader&&) noexcept;
  RequestReader& operator=(RequestReader&&) noexcept;

  // Reads on. Bytes behind a whole request are kept for the next one.
  State Feed(std::string_view bytes);
  // The peer sends nothing more.
  State End();
  // Only in kWhole; the reader is then ready for Feed().
  ReceivedRequest Take();

  State state() const { return state_; }
  const Refusal& refusal() const { return refusal_; }
  // Memory that the unfinished request occupies.
  std::size_t bytes_held() const;
  // True once for a request whose sender waits for "100 Continue" before it
  // sends the body.
  bool TakeContinue();

 private:
  class Parser;

  // Each returns how many bytes of the view it consumed.
  std::size_t Consume(std::string_view bytes);
  std::size_t SkipEmptyLines(std::string_view bytes);
  std::size_t ConsumeHead(std::string_view bytes);
  std::size_t ConsumeBody(std::string_view bytes);
  void CheckHead();
  void Refuse(int status, std::string_view reason, std::string detail);

  RequestLimits limits_;
  State state_ = State::kEmpty;
  // Received and not yet consumed.
  std::string pending_;
  std::unique_ptr<Parser> parser_;
  std::size_t empty_line_bytes_ = 0;
  // The head has no end before this position.
  std::size_t head_searched_ = 0;
  // Bytes of the body as sent, with the overhead of chunks.
  std::size_t raw_body_bytes_ = 0;
  bool continue_expected_ = false;
  Refusal refusal_;
};

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_REQUEST_READER_H_
