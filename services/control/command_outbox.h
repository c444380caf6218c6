#ifndef WIGEONSTAIR_SERVICES_CONTROL_COMMAND_OUTBOX_H_
#define WIGEONSTAIR_SERVICES_CONTROL_COMMAND_OUTBOX_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "cluster/command.h"

namespace wigeonstair::control {

// Commands that the cluster log has not taken yet. They survive the loss of the
// authority: they say what has happened, and the log refuses them when they no
// longer apply. Thread-safe; outlives every proposal.
class CommandOutbox {
 public:
  // Proposes a command. `done` gets true when it was applied, whatever its
  // result, and false when it has to be sent again; not within the call.
  using Propose =
      std::function<void(cluster::Command, std::function<void(bool)> done)>;

  explicit CommandOutbox(Propose propose);

  void Add(cluster::Command command);
  // Proposes what is not under way, the oldest first.
  void Flush();

 private:
  struct Entry {
    cluster::Command command;
    enum class State : std::uint8_t { kWaiting, kSent };
    State state = State::kWaiting;
  };

  void Finish(std::uint64_t number, bool applied);

  const Propose propose_;
  std::mutex mutex_;
  std::map<std::uint64_t, Entry> entries_;
  std::uint64_t next_number_ = 0;
};

}  // namespace wigeonstair::control

#endif  // WIGEONSTAIR_SERVICES_CONTROL_COMMAND_OUTBOX_H_
