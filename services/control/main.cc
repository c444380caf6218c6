#include "net/http_server.h"
#include "services/control/control_process.h"
#include "tools/service_program.h"

// Handlers do not block: answers that wait hold no thread. With the 40 threads
// of cpprestsdk a quarter of the processor time went into waking them.
constexpr int kHttpThreads = 4;

int main(int count, char** values) {
  using wigeonstair::control::ControlProcess;
  wigeonstair::net::SetHttpThreads(kHttpThreads);
  return wigeonstair::tools::ToInt(wigeonstair::tools::RunService(
      {.name = "wigeonstair-control",
       .version = WIGEONSTAIR_VERSION,
       .summary =
           "Keeps the replicated state and places jobs of its failure domain.",
       .start = ControlProcess::create},
      count, values));
}
