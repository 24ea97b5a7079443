#include "core/scheduling/floor_policy.h"

#include <algorithm>

namespace amaranthlane::scheduling {

namespace {

// The most slot time that a rank can owe or be owed at one endpoint.
constexpr Duration kMaximumCredit = std::chrono::seconds(1);
// The fewest slots that a backlog is taken to drain through.
constexpr double kFewestSlots = 1e-6;

Duration Scale(Duration time, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

Duration Clamp(Duration credit) { return std::clamp(credit, -kMaximumCredit, kMaximumCredit); }

}  // namespace

std::optional<Rank> HighestWaiting(const RankHeads& heads) {
  for (const Rank rank : kRanks) {
    if (heads[static_cast<std::size_t>(rank)].waiting) {
      return rank;
    }
  }
  return std::nullopt;
}

Duration DrainTime(Duration backlog, double slots) {
  if (backlog <= Duration::zero()) {
    return Duration::zero();
  }
  const double nanoseconds = static_cast<double>(backlog.count()) / std::max(slots, kFewestSlots);
  return nanoseconds < static_cast<double>(kLongestWait.count()) ? Duration(static_cast<Duration::rep>(nanoseconds))
                                                                 : kLongestWait;
}

Duration EstimatePriorityWait(Rank rank, const RankLoads& loads, double slots) {
  const auto own = static_cast<std::size_t>(rank);
  Duration ahead = loads.backlogs[own];
  double left = slots;
  for (std::size_t higher = 0; higher < own; ++higher) {
    ahead += loads.backlogs[higher];
    // Higher ranks that arrive meanwhile go first too.
    left -= loads.admitted_slots[higher];
  }
  return DrainTime(ahead, left);
}

std::optional<Rank> FloorPolicy::Choose(EndpointIndex endpoint, const RankHeads& heads) const {
  const std::optional<Rank> highest = HighestWaiting(heads);
  if (!highest) {
    return std::nullopt;
  }
  const Credits& owed = this->credits[endpoint];
  for (std::size_t lower = static_cast<std::size_t>(*highest) + 1; lower < kRankCount; ++lower) {
    if (heads[lower].waiting && owed[lower] > Duration::zero() && owed[lower] >= heads[lower].expected_service) {
      return kRanks[lower];
    }
  }
  return highest;
}

bool FloorPolicy::Charge(EndpointIndex endpoint, Rank rank, const RankHeads& heads, const RankFloors& floors) {
  const auto served = static_cast<std::size_t>(rank);
  const Duration slot_time = heads[served].expected_service;
  bool higher_waits = heads[0].waiting;
  bool charged = false;
  for (std::size_t lower = 1; lower < kRankCount; ++lower) {
    Duration& credit = this->credits[endpoint][lower];
    if (!heads[lower].waiting) {
      // Credit isn't saved up while there is no work for it; a debt stays.
      credit = std::min(credit, Duration::zero());
    } else if (higher_waits) {
      credit += Scale(slot_time, floors[lower]);
      charged = charged || lower == served;
      credit = Clamp(lower == served ? credit - slot_time : credit);
    }
    higher_waits = higher_waits || heads[lower].waiting;
  }
  return charged;
}

void FloorPolicy::Correct(EndpointIndex endpoint, Rank rank, Duration difference) {
  Duration& credit = this->credits[endpoint][static_cast<std::size_t>(rank)];
  credit = Clamp(credit - difference);
}

Duration FloorPolicy::EstimateWait(Rank rank, const RankLoads& loads) const {
  const auto own = static_cast<std::size_t>(rank);
  double left = loads.slots;
  for (std::size_t lower = own + 1; lower < kRankCount; ++lower) {
    if (loads.backlogs[lower] > Duration::zero()) {
      left -= loads.floors[lower] * loads.slots;
    }
  }
  const Duration by_priority = EstimatePriorityWait(rank, loads, left);
  const Duration by_floor = DrainTime(loads.backlogs[own], loads.floors[own] * loads.slots);
  return std::min(by_priority, by_floor);
}

}  // namespace amaranthlane::scheduling
