#include "net/http_threads.h"
#include "services/entry/entry_process.h"
#include "tools/service_program.h"

namespace {

// Each additional sleeping thread costs a wake-up. Throughput in the HTTP
// benchmark relative to a direct connection: 52% with 1 thread, 59% with 2, 67
// to 75% with 3 and 4, 66% with 8 and 61% with 40, the default of cpprestsdk.
constexpr int kHttpThreads = 3;

}  // namespace

int main(int count, char** values) {
  using wigeonstair::entry::EntryProcess;
  return wigeonstair::tools::ToInt(wigeonstair::tools::RunService(
      {.name = "wigeonstair-entry",
       .version = WIGEONSTAIR_VERSION,
       .summary = "Routes callers' requests to upstreams, those of its failure "
                  "domain first.",
       .start =
           [](const wigeonstair::settings::ProcessSettings& settings) {
             wigeonstair::net::UseHttpThreads(kHttpThreads);
             return EntryProcess::create(settings);
           }},
      count, values));
}
