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

// A relay's duty at the platform: it holds one watch, drops it when it is silent or behind, reopens it after a random
// delay, and lists each kind once after a failure.
class PlatformWatcher {
 public:
  // All references must outlive the follower.
  PlatformWatcher(const DistributionConstants& constants, ObjectStore& store, RandomSource& random);

  // Begins and ends the duty; without effect when it already has.
  void Start(TimePoint now);
  void Stop(std::vector<DistributionAction>& actions);
  bool Active() const;

  // Each returns whether there is news to push to peers.
  bool On(TimePoint now, const WatchAnswered& event);
  bool On(TimePoint now, const ListAnswered& event);
  void On(TimePoint now, const WatchFailed& event);
  void On(TimePoint now, const ListFailed& event);

  // Drops the watch because a version above what it delivered is known but can't be had from peers.
  void ReopenIfBehind(TimePoint now, ObjectVersion version, std::vector<DistributionAction>& actions);

  void Run(TimePoint now, std::vector<DistributionAction>& actions);
  TimePoint NextDeadline() const;

 private:
  struct Watch {
    // 0: no watch is open.
    std::uint64_t id = 0;
    TimePoint open_at = kNever;
    // A silent watch is dropped by then.
    TimePoint deadline = kNever;
    // The version up to which a watch has delivered all changes.
    ObjectVersion delivered_through = 0;
    // Set while the store holds more than was delivered; the watch is dropped by then.
    TimePoint lag_deadline = kNever;
    // The earliest moment for the next call.
    TimePoint not_before{};
    unsigned failures = 0;
  };

  struct List {
    std::string kind;
    // 0: not out.
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
