// A small installation with the bounds of sbl-klok: three schedulers in three
// zones, two gateways and some workers, all on loopback addresses.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_INSTALLATION_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_INSTALLATION_HPP_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

#include "http.hpp"

namespace review {

// Bounds of the site file and of the pages, in seconds.
constexpr double kContactS = 3;
constexpr double kEvacuateS = 5;
constexpr double kCancelS = 3;
constexpr double kFinishS = 14;

// A queue of the manifest; all of them lead to the one service.
struct Queue {
  std::string name;
  std::string prefix;
  int priority = 0;
};

// A tenant has one key, which is its name and "-key" behind it.
struct Tenant {
  std::string name;
  int guaranteed_gpu = 0;
};

struct InstallationOptions {
  // In each zone; those of earlier zones have lower ids.
  int workers_in_zone = 1;
  std::vector<Queue> queues;
  std::vector<Tenant> tenants;
  // The schedulers are started by StartProgram instead of by the constructor.
  bool schedulers_later = false;
};

class Installation {
 public:
  // `workers_in_zone` workers in each zone; those of earlier zones have lower
  // ids.
  explicit Installation(int workers_in_zone);
  explicit Installation(InstallationOptions options);
  // Ends all processes and removes the folder.
  ~Installation();
  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  // Waits until the manifest is in force, the gateways are ready and all
  // workers are reported. False when that does not happen in time.
  bool Begin();

  // Calls of the operator. The first attempt goes to the scheduler with this
  // number, the others to the next ones, each for a second, until one answers
  // with 2xx.
  bool Operate(const std::string& path, const std::string& body, int scheduler);

  // One call of a consumer at a gateway. Status 0 means that it got no answer
  // within `deadline_ms` and left.
  Response Consume(const std::string& method,
                   const std::string& job,
                   const std::string& body,
                   int gateway,
                   int deadline_ms = 3000);

  // A job of steps with one task of `gpu` GPUs each, one after the other.
  static std::string Job(int works_ms, int gpu, int steps = 1);
  static std::string NewId();

  // One call of a consumer of a tenant at a queue, with the tenant's key.
  Response ConsumeAt(const std::string& method,
                     const Queue& queue,
                     const std::string& tenant,
                     const std::string& job,
                     const std::string& body,
                     int gateway,
                     int deadline_ms = 3000);
  // One call of the operator at one scheduler.
  Response Ask(const std::string& method,
               const std::string& path,
               const std::string& body,
               int scheduler,
               int timeout_ms = 1000);
  // A manifest of the options, with this many routes more that nobody uses.
  std::string ManifestOf(int version, int idle_routes = 0) const;

  // Starts a program that is not running.
  void StartProgram(const std::string& name);
  // From the next start on: not the first start of the whole system, and with
  // an empty disk if `loses_disk`.
  void WillRestart(const std::string& name, bool loses_disk);
  // Makes the settings of one scheduler more, in the zone of scheduler
  // `number` - 3, at an address of its own.
  void AddScheduler(int number);
  // SIGTERM, and SIGKILL after GraceS. Does not start again.
  void Terminate(const std::string& name);
  std::string DataFolder(const std::string& name) const;

  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void Kill(const std::string& name);
  // A call of the case to a worker: late-start, restart-N
  // (scheduler N is called first), restart-silently, cut or join.
  void Tell(const std::string& worker, const std::string& command);
  // From then on the worker lists a row of another writer.
  void ListForeignRow(const std::string& worker);
  // Its next list of ends holds one of another writer, once.
  void ListForeignEnd(const std::string& worker);

  // The number of a scheduler that does not lead.
  int Follower();
  static std::string SchedulerName(int scheduler);
  static std::string GatewayName(int gateway);
  static std::string Zone(int zone);
  // Whether a process has ended by itself since the last call.
  bool HasLostProcess();
  // Starts the programs again that have ended by themselves, and returns their
  // names, as the platform does after a short delay.
  std::vector<std::string> RestartLost();

 private:
  std::string Ip(int last) const { return block_ + "." + std::to_string(last); }
  Address Control(int scheduler) const;
  void WriteSettings(const std::string& name,
                     const std::string& ip,
                     const std::string& zone,
                     const std::string& listen,
                     bool bootstrap);
  void StartWorker(int zone, int number);

  static bool IsCore(const std::string& name);
  // Records the processes that have ended and adds them to `lost_`.
  void Collect();

  const InstallationOptions options_;
  const int workers_in_zone_;
  // Where the disk of a scheduler that lost one is.
  std::map<std::string, std::string> data_;
  std::string block_;
  std::string folder_;
  std::map<std::string, pid_t> processes_;
  std::map<std::string, Address> workers_;
  std::vector<std::string> lost_;
};

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_INSTALLATION_HPP_
