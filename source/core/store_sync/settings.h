#ifndef AMARANTHLANE_CORE_STORE_SYNC_SETTINGS_H_
#define AMARANTHLANE_CORE_STORE_SYNC_SETTINGS_H_

#include <chrono>

#include "core/types.h"

namespace amaranthlane::store_sync {

// The intervals and time limits by which VMs keep their copies of the store's content up to date.
struct StoreSyncSettings {
  // The shortest time between two fetches of the configuration from peers, and between two of the directory.
  Duration fetch_interval = std::chrono::milliseconds(250);
  // A VM whose copies weren't known to be complete for this long reads the store itself, at the interval below. Longer
  // than two of a member's watches and a heartbeat interval together, the age that knowledge reaches after a change, so
  // that VMs whose members reach the store don't read it.
  Duration max_copy_age = std::chrono::milliseconds(1700);
  Duration read_interval = std::chrono::milliseconds(1500);
  // VMs read up to this much later, so that not all of them read at the same moment.
  Duration max_read_delay = std::chrono::milliseconds(300);
};

// How members watch the store for changes.
struct WatchSettings {
  // The time that the store may hold a watch open without an event. With `timeout_margin` and `retry_delay` it bounds
  // how long a silent connection delays a change, which must be well below the time in which a change is to be in
  // force.
  Duration wait = std::chrono::milliseconds(600);
  // A watch has failed when this much more than `wait` has passed without a response.
  Duration timeout_margin = std::chrono::milliseconds(500);
  // Before a request that failed is sent again.
  Duration retry_delay = std::chrono::milliseconds(250);
};

}  // namespace amaranthlane::store_sync

#endif  // AMARANTHLANE_CORE_STORE_SYNC_SETTINGS_H_
