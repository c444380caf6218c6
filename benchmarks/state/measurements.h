#ifndef WIGEONSTAIR_BENCHMARKS_STATE_MEASUREMENTS_H_
#define WIGEONSTAIR_BENCHMARKS_STATE_MEASUREMENTS_H_

#include <string>
#include <vector>

namespace wigeonstair::bench {

struct Latencies {
  double median_us = 0;
  double p99_us = 0;
  double per_second = 0;
  // Sorted.
  std::vector<double> samples_us = {};
};

// Appends of `bytes` with an fsync each, as the floor for one voter's disk.
Latencies MeasureFsync(const std::string& folder, int count, int bytes);
// The same into space that was reserved before, so that no append changes the
// file's size.
Latencies MeasureReservedSync(const std::string& folder, int count, int bytes);
// MeasureFsync on `writers` files at once, as the voters of one host cause it.
Latencies MeasureSharedFsync(const std::string& folder,
                             int count,
                             int bytes,
                             int writers);
// A call of 64 bytes and its answer over loopback TCP.
Latencies MeasureRoundTrip(int count);
// Commits on the leader of three voters with `concurrent` of them open.
Latencies MeasureCommits(const std::string& folder,
                         int count,
                         int bytes,
                         int concurrent);

// Seconds from the stop of the leader until a command is committed again.
std::vector<double> MeasureFailovers(const std::string& folder, int count);

struct IdleCost {
  // Bodies sent by consensus, per second.
  double leader_bytes = 0;
  double mean_bytes = 0;
  // Of one core, per host.
  double cpu_percent = 0;
};
IdleCost MeasureIdle(const std::string& folder, int members, int seconds);

// Seconds to open the folder of a voter after so many changes.
double MeasureRestart(const std::string& folder, int changes);

struct RecordMemory {
  double table_megabytes = 0;
  // The most while a snapshot is made and written, with the table and the
  // snapshot.
  double peak_megabytes = 0;
  double snapshot_megabytes = 0;
  double answers_megabytes = 0;
};
// Resident memory of a table with so many answered records whose answers have
// `answer_bytes` each, up to the bound of the whole table.
RecordMemory MeasureRecords(int records, int answer_bytes);
// The same of a cluster state with so many jobs, of which those beyond 49,999
// have ended.
RecordMemory MeasureJobs(int jobs);

}  // namespace wigeonstair::bench

#endif  // WIGEONSTAIR_BENCHMARKS_STATE_MEASUREMENTS_H_
