#include "services/control/command_outbox.h"

#include <utility>

namespace wigeonstair::control {

CommandOutbox::CommandOutbox(Propose propose) : propose_(std::move(propose)) {}

void CommandOutbox::Add(cluster::Command command) {
  const std::lock_guard lock(mutex_);
  entries_[next_number_++] = Entry{.command = std::move(command)};
}

void CommandOutbox::Flush() {
  const std::lock_guard lock(mutex_);
  for (auto& [number, entry] : entries_) {
    if (entry.state == Entry::State::kSent)
      continue;
    entry.state = Entry::State::kSent;
    propose_(entry.command, [this, number = number](bool applied) {
      Finish(number, applied);
    });
  }
}

void CommandOutbox::Finish(std::uint64_t number, bool applied) {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(number);
  if (found == entries_.end())
    return;
  if (applied)
    entries_.erase(found);
  else
    found->second.state = Entry::State::kWaiting;
}

}  // namespace wigeonstair::control
