#ifndef WIGEONSTAIR_LIBRARIES_NET_HTTP_THREADS_H_
#define WIGEONSTAIR_LIBRARIES_NET_HTTP_THREADS_H_

#include <functional>

#include "base/monotonic_clock.h"

namespace wigeonstair::net {

// Sets the number of threads that serve all HTTP servers and clients of this
// process, in place of the 40 that cpprestsdk starts, and keeps the steps of a
// request on one thread where possible. Handlers and callbacks must not block.
// At least 2, because cpprestsdk blocks one of them while it closes a listener.
// Has an effect only before the first HTTP server or client is created; returns
// false afterwards.
bool UseHttpThreads(int count);

// Runs the callback on one of these threads after the delay. The result cancels
// it; a callback that runs already is not interrupted.
std::function<void()> RunAfter(base::Duration delay,
                               std::function<void()> callback);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_HTTP_THREADS_H_
