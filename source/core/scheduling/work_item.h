#ifndef AMARANTHLANE_CORE_SCHEDULING_WORK_ITEM_H_
#define AMARANTHLANE_CORE_SCHEDULING_WORK_ITEM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "core/types.h"

// The inputs and outputs of a group's scheduler.
namespace amaranthlane::scheduling {

// Identifies a statement. The user of the scheduler chooses it; it is unique while the statement is queued or running.
using WorkId = std::uint64_t;

// The index of an endpoint in its group's table, from 0 to kMaxEndpoints - 1.
using EndpointIndex = std::uint8_t;
inline constexpr std::size_t kMaxEndpoints = 31;

// A set of endpoints as a bit mask: bit i stands for the endpoint with index i, and kPrimaryBit for the endpoint that
// is the primary at the time of dispatch.
using EndpointSet = std::uint32_t;
inline constexpr EndpointSet kPrimaryBit = 1U << kMaxEndpoints;

constexpr EndpointSet EndpointBit(EndpointIndex endpoint) { return 1U << endpoint; }

// One statement that waits for a slot.
struct WorkItem {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  // The minimum share of the slots, 0 to 1, that the item's rank gets while it has work waiting.
  double floor = 0.0;
  TimePoint arrival;
  // The time by which the statement must be answered.
  TimePoint deadline = kNever;
  // The endpoints that may run the statement.
  EndpointSet eligible = kPrimaryBit;
  // Further endpoints that may run it if its deadline can't be met on `eligible`. Empty: none.
  EndpointSet fallback = 0;
  // Memory that the statement uses while it waits.
  std::size_t bytes = 0;
};

// Why a statement was refused. A refused statement was never sent.
enum class RefusalReason : std::uint8_t {
  // On admission: the estimated wait and service time exceed the time to the deadline.
  kWaitTooLong,
  // In the queue: the deadline can no longer be met.
  kDeadlineUnmeetable,
  // In the queue: dropped as the last statement of its queue, because work that is served before it needs the slots or
  // the memory.
  kShed,
  // On admission: the queue has reached its memory limit.
  kMemoryGuard,
  // At the entry VM: the group's leader asked for less work of that rank.
  kBackPressure,
};
std::string_view RefusalReasonName(RefusalReason reason);

// A statement that the scheduler refused.
struct Refusal {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  RefusalReason reason = RefusalReason::kWaitTooLong;
  // When the queue is expected to accept such work again.
  TimePoint retry_at;
};

// A statement to be sent to an endpoint now. It occupies one of the endpoint's slots until it is released.
struct Dispatch {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  EndpointIndex endpoint = 0;
};

// The decisions of one scheduler call. The caller owns it and reuses its memory.
struct SchedulerActions {
  std::vector<Dispatch> dispatches;
  std::vector<Refusal> refusals;

  void Clear() {
    this->dispatches.clear();
    this->refusals.clear();
  }
};

// The endpoints that may run a request, as far as an entry VM knows: writes and reads with a maximum staleness of zero
// go to the primary, other reads may go to replicas too.
enum class TargetKind : std::uint8_t { kPrimary, kReplicas };
inline constexpr std::size_t kTargetKindCount = 2;

// The load of a group for one rank and target, as its leader reports it to the entry VMs.
struct RankPressure {
  // The time that a statement admitted now would wait for its slot.
  Duration estimated_wait = Duration::zero();
  Duration expected_service_time = Duration::zero();
  // The share of the arriving work, 0 to 1, that the entry VMs are to forward.
  double admission_fraction = 1.0;
};

// The load of one group.
struct PressureReport {
  // Indexed by rank, then by target.
  std::array<std::array<RankPressure, kTargetKindCount>, kRankCount> pressures;

  const RankPressure& Of(Rank rank, TargetKind target) const {
    return this->pressures[static_cast<std::size_t>(rank)][static_cast<std::size_t>(target)];
  }
  RankPressure& Of(Rank rank, TargetKind target) {
    return this->pressures[static_cast<std::size_t>(rank)][static_cast<std::size_t>(target)];
  }
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_WORK_ITEM_H_
