#include <optional>
#include <string>

#include "cases.hpp"

namespace review {

namespace {

constexpr double kReclaimS = 3.4;
constexpr int kWorkers = 3;

std::string LastingJob(int tasks) {
  return "{\"Spec\":\"0\",\"Steps\":[{\"Count\":" + std::to_string(tasks) +
         ",\"Cpu\":2000,\"MemMb\":1024,\"Gpu\":8,\"EstimateMs\":4000,"
         "\"LongRunning\":true}]}";
}

std::optional<double> FirstStart(const std::string& job) {
  for (const RecordedLine& line : ReadRecord()) {
    if (line.words.size() > 4 && line.words[0] == "started" &&
        line.words[3].starts_with(job))
      return line.at;
  }
  return std::nullopt;
}

}  // namespace

int Guarantee(bool trouble) {
  Installation here(TwoTenants(kWorkers / 3));
  if (!here.Begin())
    return kCannotRun;
  // Within its guarantee a tenant may use one worker; idle ones beyond it.
  const std::string others = Installation::NewId();
  const std::string lasting = LastingJob(trouble ? kWorkers : 1);
  if (here.ConsumeAt("POST", kUrgent, "florist", others, lasting, 0).status !=
      200)
    return kCannotRun;
  Sleep(4000);
  if (!FirstStart(others))
    return kCannotRun;
  const std::string job = Installation::NewId();
  if (here.ConsumeAt("POST", kUrgent, "exporter", job,
                     Installation::Job(2000, 8), 0)
          .status != 200)
    return kCannotRun;
  const double acknowledged = Seconds();
  for (int i = 0; i < 20; ++i) {
    Sleep(1000);
    here.ConsumeAt("GET", kUrgent, "exporter", job, "", i % 2);
  }
  const std::optional<double> began = FirstStart(job);
  Record(began ? "began " + std::to_string(*began - acknowledged) +
                     " s after the ack"
               : std::string("has not begun"));
  return began && *began <= acknowledged + kReclaimS ? kHeld : kBroken;
}

}  // namespace review
