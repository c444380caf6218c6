#ifndef WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SETTINGS_H_
#define WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SETTINGS_H_

#include <chrono>

#include "base/monotonic_clock.h"

namespace wigeonstair::membership {

// A dead host is detected after at most 750 ms until one of its monitors probes
// it, 350 ms until suspicion and 450 ms until death, plus three ticks of 50 ms:
// 1.7 s. The rest of the 2 s is for spreading the news.
struct ProbeSettings {
  // Each interval one of the monitored members is probed.
  base::Duration interval = std::chrono::milliseconds(250);
  // Each member monitors this many successors on a ring. A random choice
  // of targets, as in SWIM, has no upper bound on the time until a member is
  // probed.
  int monitored = 3;
  // After this the probe is sent again, directly and through helpers.
  base::Duration ack_timeout = std::chrono::milliseconds(150);
  int helpers = 3;
  base::Duration suspect_after = std::chrono::milliseconds(350);
  // A suspect is probed at this interval, directly and through one helper.
  base::Duration suspect_interval = std::chrono::milliseconds(100);
  base::Duration dead_after = std::chrono::milliseconds(450);
  // For a suspicion that came from another member: longer, because that member
  // usually decides first.
  base::Duration hearsay_dead_after = std::chrono::seconds(3);
};

struct UpstreamSettings {
  base::Duration suspect_after = std::chrono::seconds(3);
  base::Duration gone_after = std::chrono::seconds(30);
  base::Duration check_interval = std::chrono::milliseconds(250);
  // One lost relay leaves the observer without a heartbeat for 2.5 s, which is
  // under the limit above. With 1 s each lost relay made an upstream suspect.
  base::Duration relay_interval = std::chrono::milliseconds(500);
  base::Duration summary_interval = std::chrono::seconds(1);
};

struct TableSettings {
  ProbeSettings probe;
  UpstreamSettings upstream;
  base::Duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 3;
  // A record is passed on this often times log2 of the hosts concerned.
  double transmission_factor = 1.5;
  // A random member is probed to compare digests.
  base::Duration mixing_interval = std::chrono::seconds(1);
  // A random dead member is probed, so that a healed partition is noticed.
  base::Duration revival_interval = std::chrono::seconds(2);
  base::Duration repair_interval = std::chrono::milliseconds(500);
  // While records still wait to be passed on, digests differ for no reason.
  base::Duration busy_repair_interval = std::chrono::seconds(5);
  // Own status and capacity are published at most this often.
  base::Duration status_interval = std::chrono::seconds(1);
  base::Duration capacity_interval = std::chrono::seconds(2);
  // A longer time between two ticks means that this process was frozen.
  base::Duration freeze = std::chrono::milliseconds(500);
  base::Duration member_tombstone = std::chrono::hours(1);
  base::Duration upstream_tombstone = std::chrono::minutes(2);
  // Sent bytes, with UDP and IP headers. Probes and acks are never held back,
  // but use up the budget; records wait for it.
  double bytes_per_second = 2500;
  // Lets 400 announcements of a domain that starts spread at once. With 8,000
  // bytes, most had not spread after 20 s.
  double burst_bytes = 250'000;
};

}  // namespace wigeonstair::membership

#endif  // WIGEONSTAIR_LIBRARIES_MEMBERSHIP_SETTINGS_H_
