#ifndef WIGEONSTAIR_TESTS_END_TO_END_CHILD_PROCESS_H_
#define WIGEONSTAIR_TESTS_END_TO_END_CHILD_PROCESS_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace wigeonstair::end_to_end {

// A program of this repository that a test started. It is killed on
// destruction.
class ChildProcess {
 public:
  // Output goes to the file `log`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t id() const { return process_; }

  // Returns after SIGSTOP only when the process has stopped. On a busy machine
  // its threads run on until one of them has taken the signal.
  void Signal(int signal) const;
  // No file of the process can grow beyond the size, as on a full disk.
  void LimitFileSize(std::uint64_t bytes) const;
  void LiftFileSizeLimit() const;
  // Waits until the process ends and returns its exit code, or 128 plus the
  // number of the signal that ended it. Kills a process that hangs.
  int Wait();

 private:
  pid_t process_ = -1;
  std::optional<int> exit_code_;
};

}  // namespace wigeonstair::end_to_end

#endif  // WIGEONSTAIR_TESTS_END_TO_END_CHILD_PROCESS_H_
