#ifndef AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/configuration/platform_object.h"

namespace amaranthlane::configuration {

// The intervals and bounds of distribution.
struct DistributionConstants {
  // The kinds that every VM follows.
  std::vector<std::string> kinds = {kDatabaseGroupsKind, kLeadershipKind, kLabelsKind,
                                    kSelectorsKind,      kCallersKind,    kEndpointsKind};
  // How long the platform may hold a watch open without a change.
  std::chrono::milliseconds watch_wait{10000};
  // A watch that is silent for longer than its wait by this much is dropped.
  std::chrono::milliseconds watch_timeout_margin{2000};
  // A relay's watches are opened at least this far apart, so that a burst of changes costs a bounded rate of calls.
  std::chrono::milliseconds watch_interval{100};
  // A watch is dropped when the store has held a version for this long that the watch hasn't delivered.
  std::chrono::milliseconds watch_lag_limit{1000};
  // A failed watch is reopened after a random time up to this one, which doubles with each further failure, at most
  // `watch_retry_doublings` times.
  std::chrono::milliseconds watch_retry_delay{500};
  unsigned watch_retry_doublings = 3;
  // The lists that follow a failure are spread at random over this time.
  std::chrono::milliseconds list_delay{10000};
  // A list, a read or a pull without an answer for this long has failed.
  std::chrono::milliseconds call_timeout{2000};
  // Digests pushed because of a change are at least this far apart.
  std::chrono::milliseconds push_interval{100};
  // Each VM sends its digest to a relay at least this far apart; the interval grows with the data centre so that a
  // relay receives at most `digests_per_relay_per_s` a second.
  std::chrono::milliseconds exchange_interval{500};
  std::size_t digests_per_relay_per_s = 10;
  // One digest in this many goes to any member instead of a relay.
  std::size_t any_member_one_in = 4;
  // The bound on one answer with differences.
  std::size_t differences_limit_bytes = 256UL * 1024;
  // Reads of single objects that may be out at once.
  std::size_t maximum_pending_reads = 8;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_CONSTANTS_H_
