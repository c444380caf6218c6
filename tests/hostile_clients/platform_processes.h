#ifndef WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_PLATFORM_PROCESSES_H_
#define WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_PLATFORM_PROCESSES_H_

#include <cstddef>
#include <memory>
#include <string>

#include "net/address.h"
#include "tests/end_to_end/child_process.h"

namespace wigeonstair::hostile_clients {

// A gateway and a scheduler with low limits for clients, on loopback addresses
// of their own. They know a configuration with one queue.
class PlatformProcesses {
 public:
  PlatformProcesses();
  ~PlatformProcesses();
  PlatformProcesses(const PlatformProcesses&) = delete;
  PlatformProcesses& operator=(const PlatformProcesses&) = delete;

  const net::Address& callers() const { return callers_; }
  const net::Address& control() const { return control_; }
  const end_to_end::ChildProcess& gateway() const { return *gateway_; }
  const end_to_end::ChildProcess& scheduler() const { return *scheduler_; }

  // Asks again until the answer is 200; false after a time that only a process
  // which ended or hangs reaches.
  bool GatewayAnswers() const;
  bool SchedulerAnswers() const;
  std::string Logs() const;

 private:
  std::unique_ptr<end_to_end::ChildProcess> Start(const std::string& name,
                                                  const std::string& program,
                                                  const std::string& ip,
                                                  const std::string& listen);

  std::string folder_;
  net::Address callers_;
  net::Address readiness_;
  net::Address control_;
  std::unique_ptr<end_to_end::ChildProcess> scheduler_;
  std::unique_ptr<end_to_end::ChildProcess> gateway_;
};

bool IsRunning(const end_to_end::ChildProcess& process);
// The largest resident memory that the process ever had.
std::size_t PeakMemoryKilobytes(const end_to_end::ChildProcess& process);
std::size_t OpenDescriptors(const end_to_end::ChildProcess& process);

}  // namespace wigeonstair::hostile_clients

#endif  // WIGEONSTAIR_TESTS_HOSTILE_CLIENTS_PLATFORM_PROCESSES_H_
