#include "base/freeze_detector.h"

namespace wigeonstair::base {

void FreezeDetector::Tick(Instant now) {
  // In this order, so that a reader sees the freeze in one of them.
  if (now - last_tick_.load() > kFreezeLimit)
    backlog_until_ = now + kBacklogTime;
  last_tick_ = now;
}

bool FreezeDetector::MayHaveWaited(Instant now) const {
  return now - last_tick_.load() > kFreezeLimit || now < backlog_until_.load();
}

}  // namespace wigeonstair::base
