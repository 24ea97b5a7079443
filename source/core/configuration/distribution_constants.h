#ifndef AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/configuration/platform_object.h"

namespace amaranthlane::configuration {

// The intervals and limits of the distribution of objects to VMs.
struct DistributionConstants {
  // The kinds that every VM keeps a copy of.
  std::vector<std::string> kinds = {kDatabaseGroupsKind, kLeadershipKind, kLabelsKind,
                                    kSelectorsKind,      kCallersKind,    kEndpointsKind};
  // How long the platform may hold a watch open without a change.
  std::chrono::milliseconds watch_wait{10000};
  // A watch without a response for `watch_wait` plus this time is closed.
  std::chrono::milliseconds watch_timeout_margin{2000};
  // The minimum time between two watches that a relay opens, so that a burst of changes causes a bounded rate of calls.
  std::chrono::milliseconds watch_interval{100};
  // A watch is closed when the store has held a version for this long that the watch has not delivered.
  std::chrono::milliseconds watch_lag_timeout{1000};
  // A failed watch is reopened after a random delay of up to this time. The limit doubles with each further failure, at
  // most `watch_retry_doublings` times.
  std::chrono::milliseconds watch_retry_delay{500};
  unsigned watch_retry_doublings = 3;
  // After a start or a failed watch, each kind is listed after a random delay of up to this time.
  std::chrono::milliseconds list_delay{10000};
  // A list, a read or a pull without a response for this long has failed.
  std::chrono::milliseconds call_timeout{2000};
  // The minimum time between two digests that are pushed because of changes.
  std::chrono::milliseconds push_interval{100};
  // The interval at which a VM sends its digest to a relay, shortened by a random part of up to half. It grows with the
  // number of VMs in the data centre, so that a relay receives at most about `digests_per_relay_per_s` digests per
  // second.
  std::chrono::milliseconds exchange_interval{500};
  std::size_t digests_per_relay_per_s = 10;
  // On average, one in this many of these digests goes to a random member instead of a relay.
  std::size_t any_member_one_in = 4;
  // The size limit of one reply with differences.
  std::size_t differences_limit_bytes = 256UL * 1024;
  // The number of single-object reads that may be pending at once.
  std::size_t max_pending_reads = 8;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_
