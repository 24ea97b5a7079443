#include "core/configuration/platform_watcher.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::configuration {

PlatformWatcher::PlatformWatcher(const DistributionConstants& constants, ObjectStore& store, RandomSource& random)
    : constants(constants), store(store), random(random) {}

void PlatformWatcher::Start(TimePoint now) {
  if (this->active) {
    return;
  }
  this->active = true;
  this->watch = {};
  this->watch.open_at = now;
  this->ScheduleLists(now);
}

void PlatformWatcher::Stop(std::vector<DistributionAction>& actions) {
  if (this->watch.id != 0) {
    actions.emplace_back(CloseWatch{this->watch.id});
  }
  this->active = false;
  this->watch = {};
  this->lists.clear();
}

bool PlatformWatcher::Active() const { return this->active; }

bool PlatformWatcher::On(TimePoint now, const WatchSucceeded& event) {
  for (const PlatformObject& object : event.objects) {
    this->store.Apply(object);
  }
  // Every watch starts at a version through which the store was complete, so this is also correct for a late response.
  this->store.AdvanceCompleteThrough(event.version);
  if (event.id == this->watch.id && this->watch.id != 0) {
    this->watch.id = 0;
    this->watch.failures = 0;
    this->watch.deadline = kNever;
    this->watch.delivered_through = std::max(this->watch.delivered_through, event.version);
    this->watch.open_at = std::max(now, this->watch.not_before);
  }
  return !event.objects.empty();
}

bool PlatformWatcher::On(TimePoint, const ListSucceeded& event) {
  const bool changed = this->store.ApplyList(event.kind, event.version, event.objects);
  std::erase_if(this->lists, [&event](const List& list) { return list.id == event.id; });
  return changed;
}

void PlatformWatcher::On(TimePoint now, const WatchFailed& event) {
  if (event.id == this->watch.id && this->watch.id != 0) {
    this->ScheduleReopen(now);
  }
}

void PlatformWatcher::On(TimePoint now, const ListFailed& event) {
  for (List& list : this->lists) {
    if (list.id == event.id) {
      this->RescheduleList(now, list);
    }
  }
}

void PlatformWatcher::ReopenIfBehind(TimePoint now, ObjectVersion version, std::vector<DistributionAction>& actions) {
  if (this->watch.id != 0 && version > this->watch.delivered_through) {
    this->CloseAndReopen(now, actions);
  }
}

void PlatformWatcher::Run(TimePoint now, std::vector<DistributionAction>& actions) {
  if (!this->active) {
    return;
  }
  this->UpdateLagDeadline(now);
  if (this->watch.id != 0 && now >= std::min(this->watch.deadline, this->watch.lag_deadline)) {
    this->CloseAndReopen(now, actions);
  }
  if (this->watch.id == 0 && now >= this->watch.open_at) {
    this->Open(now, actions);
  }
  this->RunLists(now, actions);
}

TimePoint PlatformWatcher::NextDeadline() const {
  if (!this->active) {
    return kNever;
  }
  TimePoint next = this->watch.id == 0 ? this->watch.open_at : std::min(this->watch.deadline, this->watch.lag_deadline);
  for (const List& list : this->lists) {
    next = std::min(next, list.id == 0 ? list.start_at : list.deadline);
  }
  return next;
}

void PlatformWatcher::Open(TimePoint now, std::vector<DistributionAction>& actions) {
  const ObjectVersion after = this->store.CompleteThrough();
  this->watch.id = this->next_id++;
  this->watch.open_at = kNever;
  this->watch.deadline = now + this->constants.watch_wait + this->constants.watch_timeout_margin;
  this->watch.lag_deadline = kNever;
  this->watch.not_before = now + this->constants.watch_interval;
  this->watch.delivered_through = std::max(this->watch.delivered_through, after);
  actions.emplace_back(OpenWatch{this->watch.id, this->constants.kinds, after, this->constants.watch_wait});
}

void PlatformWatcher::CloseAndReopen(TimePoint now, std::vector<DistributionAction>& actions) {
  actions.emplace_back(CloseWatch{this->watch.id});
  this->ScheduleReopen(now);
}

// Schedules the next watch after a failure. The random delay spreads the relays' calls when all watches fail at once.
void PlatformWatcher::ScheduleReopen(TimePoint now) {
  const unsigned doublings = std::min(this->watch.failures, this->constants.watch_retry_doublings);
  ++this->watch.failures;
  this->watch.id = 0;
  this->watch.deadline = kNever;
  this->watch.lag_deadline = kNever;
  this->watch.open_at = now + this->random.DelayUpTo(this->constants.watch_retry_delay * (1U << doublings));
  this->ScheduleLists(now);
}

void PlatformWatcher::ScheduleLists(TimePoint now) {
  for (const std::string& kind : this->constants.kinds) {
    const auto same_kind = [&kind](const List& list) { return list.kind == kind; };
    if (std::none_of(this->lists.begin(), this->lists.end(), same_kind)) {
      this->lists.push_back({kind, 0, now + this->random.DelayUpTo(this->constants.list_delay), kNever});
    }
  }
}

void PlatformWatcher::RescheduleList(TimePoint now, List& list) {
  list.id = 0;
  list.deadline = kNever;
  list.start_at = now + this->random.DelayUpTo(this->constants.list_delay);
}

// The store also receives objects from peers and edits. A version that it holds above `delivered_through` must soon
// arrive over the watch as well; otherwise the watch's connection is silent.
void PlatformWatcher::UpdateLagDeadline(TimePoint now) {
  if (this->store.HighestVersion() <= this->watch.delivered_through) {
    this->watch.lag_deadline = kNever;
  } else if (this->watch.lag_deadline == kNever) {
    this->watch.lag_deadline = now + this->constants.watch_lag_timeout;
  }
}

void PlatformWatcher::RunLists(TimePoint now, std::vector<DistributionAction>& actions) {
  for (List& list : this->lists) {
    if (list.id != 0 && now >= list.deadline) {
      this->RescheduleList(now, list);
    }
    if (list.id == 0 && now >= list.start_at) {
      list.id = this->next_id++;
      list.deadline = now + this->constants.call_timeout;
      actions.emplace_back(ListObjects{list.id, list.kind});
    }
  }
}

}  // namespace amaranthlane::configuration
