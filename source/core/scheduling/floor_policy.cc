#include "core/scheduling/floor_policy.h"

#include <algorithm>

namespace amaranthlane::scheduling {

namespace {

// Limit of a rank's credit and of its debt at one endpoint, in slot time.
constexpr Duration kMaxCredit = std::chrono::seconds(1);
// Lower bound of the slots that serve a backlog; higher ranks may leave none.
constexpr double kMinSlots = 1e-6;

Duration Scale(Duration time, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
}

Duration ClampCredit(Duration credit) { return std::clamp(credit, -kMaxCredit, kMaxCredit); }

}  // namespace

std::optional<Rank> HighestWaitingRank(const RankHeads& heads) {
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
  const double nanoseconds = static_cast<double>(backlog.count()) / std::max(slots, kMinSlots);
  return nanoseconds < static_cast<double>(kMaxWaitEstimate.count()) ? Duration(static_cast<Duration::rep>(nanoseconds))
                                                                     : kMaxWaitEstimate;
}

Duration EstimatePriorityWait(Rank rank, const RankLoads& loads, double slots) {
  const auto own_index = static_cast<std::size_t>(rank);
  Duration backlog_ahead = loads.backlogs[own_index];
  double remaining_slots = slots;
  for (std::size_t higher = 0; higher < own_index; ++higher) {
    backlog_ahead += loads.backlogs[higher];
    // Work of higher ranks that arrives in the meantime is served first too.
    remaining_slots -= loads.admitted_slots[higher];
  }
  return DrainTime(backlog_ahead, remaining_slots);
}

std::optional<Rank> FloorPolicy::ChooseRank(EndpointIndex endpoint, const RankHeads& heads) const {
  const std::optional<Rank> highest = HighestWaitingRank(heads);
  if (!highest) {
    return std::nullopt;
  }
  const Credits& endpoint_credits = this->credits[endpoint];
  for (std::size_t lower = static_cast<std::size_t>(*highest) + 1; lower < kRankCount; ++lower) {
    if (heads[lower].waiting && endpoint_credits[lower] > Duration::zero() &&
        endpoint_credits[lower] >= heads[lower].expected_service_time) {
      return kRanks[lower];
    }
  }
  return highest;
}

bool FloorPolicy::Charge(EndpointIndex endpoint, Rank rank, const RankHeads& heads, const RankFloors& floors) {
  const auto served = static_cast<std::size_t>(rank);
  const Duration slot_time = heads[served].expected_service_time;
  bool higher_rank_waits = heads[0].waiting;
  bool needs_correction = false;
  for (std::size_t lower = 1; lower < kRankCount; ++lower) {
    Duration& credit = this->credits[endpoint][lower];
    if (!heads[lower].waiting) {
      // A rank without waiting work accumulates no credit, but keeps its debt.
      credit = std::min(credit, Duration::zero());
    } else if (higher_rank_waits) {
      credit += Scale(slot_time, floors[lower]);
      needs_correction = needs_correction || lower == served;
      credit = ClampCredit(lower == served ? credit - slot_time : credit);
    }
    higher_rank_waits = higher_rank_waits || heads[lower].waiting;
  }
  return needs_correction;
}

void FloorPolicy::CorrectCharge(EndpointIndex endpoint, Rank rank, Duration difference) {
  Duration& credit = this->credits[endpoint][static_cast<std::size_t>(rank)];
  credit = ClampCredit(credit - difference);
}

Duration FloorPolicy::EstimateWait(Rank rank, const RankLoads& loads) const {
  const auto own_index = static_cast<std::size_t>(rank);
  double remaining_slots = loads.slots;
  for (std::size_t lower = own_index + 1; lower < kRankCount; ++lower) {
    if (loads.backlogs[lower] > Duration::zero()) {
      remaining_slots -= loads.floors[lower] * loads.slots;
    }
  }
  const Duration by_priority = EstimatePriorityWait(rank, loads, remaining_slots);
  const Duration by_floor = DrainTime(loads.backlogs[own_index], loads.floors[own_index] * loads.slots);
  return std::min(by_priority, by_floor);
}

}  // namespace amaranthlane::scheduling
