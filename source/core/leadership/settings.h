#ifndef AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/types.h"

namespace amaranthlane::leadership {

// The configured intervals and sizes of the leadership system. All VMs of a fleet must agree on `promise_length`.
struct LeadershipSettings {
  // Between two renewals of a holder's promises.
  Duration beat = std::chrono::milliseconds(400);
  // How long a witness helps nobody else, and how long it stays silent after its start.
  Duration promise_length = std::chrono::seconds(2);
  // Taken off a holder's validity; covers the drift of clocks over one promise.
  Duration margin = std::chrono::milliseconds(100);
  // A witness refuses takeovers on suspicion while its promise is younger than this.
  Duration holder_silence = std::chrono::seconds(1);
  // Between two attempts of the same request while an answer is missing.
  Duration retry_interval = std::chrono::milliseconds(150);
  // An update or read without an answer counts as lost after this.
  Duration platform_timeout = std::chrono::seconds(2);
  // Between two attempts at the platform after a failure.
  Duration platform_retry_interval = std::chrono::milliseconds(500);
  // How much longer each further VM in the order of preference waits before it takes part in a takeover.
  Duration takeover_stagger = std::chrono::seconds(3);
  // How much longer each further VM in the order of preference waits before it creates a missing record.
  Duration creation_stagger = std::chrono::seconds(1);
  // How long a witness or successor has to be unusable before the leader writes an epoch with others.
  Duration replacement_delay = std::chrono::seconds(10);
  // Up to this many VMs in a region, all of them are witnesses.
  std::size_t all_witness_limit = 9;
  // The number of witnesses in a larger region.
  std::size_t witness_count = 5;
  std::size_t successor_count = 2;
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_
