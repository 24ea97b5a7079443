#ifndef AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_WATCHER_H_
#define AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_WATCHER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/configuration/distribution_constants.h"
#include "core/configuration/distribution_messages.h"
#include "core/configuration/object_store.h"
#include "core/configuration/random_source.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// Follows the platform's changes on a relay. It holds one watch open, closes it when it is silent or lags behind the
// store, reopens it after a random delay, and lists each kind once at the start and after a failed watch.
class PlatformWatcher {
 public:
  // All references must outlive the object.
  PlatformWatcher(const DistributionConstants& constants, ObjectStore& store, RandomSource& random);

  // Starts and stops watching. Without effect if it has already been started or stopped.
  void Start(TimePoint now);
  void Stop(std::vector<DistributionAction>& actions);
  bool Active() const;

  // The first two return true when peers should receive a new digest.
  bool On(TimePoint now, const WatchSucceeded& event);
  bool On(TimePoint now, const ListSucceeded& event);
  void On(TimePoint now, const WatchFailed& event);
  void On(TimePoint now, const ListFailed& event);

  // Closes and reopens the watch if `version`, which is not available from peers, is above what it delivered.
  void ReopenIfBehind(TimePoint now, ObjectVersion version, std::vector<DistributionAction>& actions);

  void Run(TimePoint now, std::vector<DistributionAction>& actions);
  TimePoint NextDeadline() const;

 private:
  struct Watch {
    // 0: no watch is open.
    std::uint64_t id = 0;
    TimePoint open_at = kNever;
    // When the watch is closed if there was no response.
    TimePoint deadline = kNever;
    // The version up to which a watch has delivered all changes.
    ObjectVersion delivered_through = 0;
    // When the watch is closed if it still lags. Set while the store holds a version above `delivered_through`.
    TimePoint lag_deadline = kNever;
    // The earliest time for the next watch after a response.
    TimePoint not_before{};
    unsigned failures = 0;
  };

  struct List {
    std::string kind;
    // 0: not pending.
    std::uint64_t id = 0;
    TimePoint start_at = kNever;
    TimePoint deadline = kNever;
  };

  void Open(TimePoint now, std::vector<DistributionAction>& actions);
  void CloseAndReopen(TimePoint now, std::vector<DistributionAction>& actions);
  void ScheduleReopen(TimePoint now);
  void ScheduleLists(TimePoint now);
  void RescheduleList(TimePoint now, List& list);
  void UpdateLagDeadline(TimePoint now);
  void RunLists(TimePoint now, std::vector<DistributionAction>& actions);

  const DistributionConstants& constants;
  ObjectStore& store;
  RandomSource& random;
  bool active = false;
  std::uint64_t next_id = 1;
  Watch watch;
  std::vector<List> lists;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_WATCHER_H_
