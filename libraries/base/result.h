#ifndef WIGEONSTAIR_LIBRARIES_BASE_RESULT_H_
#define WIGEONSTAIR_LIBRARIES_BASE_RESULT_H_

#include <boost/leaf.hpp>

#include <string>
#include <utility>
#include <variant>

#include "base/error.h"

namespace wigeonstair::base {

// The result of a fallible call. The error object travels through LEAF, so it
// is only delivered to a caller further up that runs inside Capture().
template <typename T>
using Result = boost::leaf::result<T>;

// Makes a failed Result. Usage: return base::Fail(code, step, peer, detail);
inline boost::leaf::error_id Fail(ErrorCode code,
                                  std::string step,
                                  std::string peer,
                                  std::string detail) {
  return boost::leaf::new_error(Error{.code = code,
                                      .step = std::move(step),
                                      .peer = std::move(peer),
                                      .detail = std::move(detail)});
}

inline boost::leaf::error_id Fail(Error error) {
  return boost::leaf::new_error(std::move(error));
}

namespace internal {

template <typename ResultType>
struct ValueOf;

template <typename T>
struct ValueOf<Result<T>> {
  using Type = T;
};

}  // namespace internal

// Runs `callable`, which returns Result<T>, and returns its value or its Error.
// T must not be void; return Result<std::monostate> instead.
template <typename Callable>
auto Capture(Callable&& callable) {
  using T = typename internal::ValueOf<decltype(callable())>::Type;
  using Outcome = std::variant<T, Error>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome> {
        auto result = callable();
        if (!result)
          return result.error();
        return Outcome(std::in_place_index<0>, std::move(result.value()));
      },
      [](const Error& error) { return Outcome(std::in_place_index<1>, error); },
      [] {
        return Outcome(std::in_place_index<1>,
                       Error{.code = ErrorCode::kInternal,
                             .step = "unknown",
                             .peer = {},
                             .detail = "an error without a description"});
      });
}

}  // namespace wigeonstair::base

// Returns early from the calling function when `expression`, a Result, failed;
// otherwise yields its value. BOOST_LEAF_CHECK uses a statement expression,
// which g++ and clang both support. Not for a member of a braced initializer:
// an early return there leaks the members before it.
#define TRY(expression) BOOST_LEAF_CHECK(expression)

#endif  // WIGEONSTAIR_LIBRARIES_BASE_RESULT_H_
