#ifndef AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/types.h"

namespace amaranthlane::leadership {

// The intervals and sizes of the leadership system. All VMs of a fleet must use the same `grant_duration`.
struct LeadershipSettings {
  // The interval between renewals of a holder's grants.
  Duration renewal_interval = std::chrono::milliseconds(400);
  // How long a grant lasts, and how long a witness is silent after its start.
  Duration grant_duration = std::chrono::seconds(2);
  // Subtracted from a holder's validity; covers the clock drift over one grant duration.
  Duration clock_drift_margin = std::chrono::milliseconds(100);
  // A witness refuses a takeover on suspicion while its grant to the holder is younger than this.
  Duration holder_timeout = std::chrono::seconds(1);
  // The interval between attempts of an unanswered request.
  Duration retry_interval = std::chrono::milliseconds(150);
  // The time after which an unanswered read counts as failed and the outcome of an unanswered update as unknown.
  Duration platform_timeout = std::chrono::seconds(2);
  // The interval between attempts at the platform after a failure.
  Duration platform_retry_interval = std::chrono::milliseconds(500);
  // How much longer each further VM in the order of candidates waits before it starts a takeover.
  Duration takeover_stagger = std::chrono::seconds(3);
  // How much longer each further VM in the order of candidates waits before it creates a missing record.
  Duration creation_stagger = std::chrono::seconds(1);
  // How long a witness or successor has to be unusable before the leader replaces it in a new epoch.
  Duration replacement_delay = std::chrono::seconds(10);
  // In a region of up to this many VMs, all of them are witnesses.
  std::size_t all_witness_limit = 9;
  // The number of witnesses in a larger region.
  std::size_t witness_count = 5;
  std::size_t successor_count = 2;
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_SETTINGS_H_
