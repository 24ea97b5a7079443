#ifndef AMARANTHLANE_CORE_SCHEDULING_WORK_ITEM_H_
#define AMARANTHLANE_CORE_SCHEDULING_WORK_ITEM_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "core/types.h"

// The messages that go into and come out of a group's scheduler.
namespace amaranthlane::scheduling {

// Names one statement; chosen by the caller of the scheduler and unique while the statement is queued or runs.
using WorkId = std::uint64_t;

// The place of an endpoint in its group's table, from 0 to kMaxEndpoints - 1.
using EndpointIndex = std::uint8_t;
inline constexpr std::size_t kMaxEndpoints = 31;

// A set of endpoints as a bit mask: bit i stands for the endpoint with index i, and kPrimaryBit for whichever endpoint
// is the primary at the moment of dispatch.
using EndpointSet = std::uint32_t;
inline constexpr EndpointSet kPrimaryBit = 1U << kMaxEndpoints;

constexpr EndpointSet EndpointBit(EndpointIndex endpoint) { return 1U << endpoint; }

// One statement that waits for a slot.
struct WorkItem {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  // The share of slots, 0 to 1, that the item's rank keeps while it has work waiting.
  double floor = 0.0;
  TimePoint arrival;
  // The moment by which the answer must be there.
  TimePoint deadline = kNever;
  // Where the statement may run.
  EndpointSet eligible = kPrimaryBit;
  // Where it may run besides, if its deadline can't be met at `eligible`. Empty: nowhere.
  EndpointSet fallback = 0;
  // The memory that the statement takes while it waits.
  std::size_t bytes = 0;
};

// Why a statement was refused. It was never sent in any of the cases.
enum class RefusalReason : std::uint8_t {
  // On admission: the estimated wait and service exceed the deadline.
  kWaitTooLong,
  // In the queue: the deadline can no longer be met.
  kDeadlineUnmeetable,
  // In the queue: gave way, as the newest of the lowest rank, to work that came before it in rank.
  kShed,
  // The queue has reached its bound of memory.
  kMemoryGuard,
  // At the entry VM: the group's leader asked for less work of that rank.
  kBackPressure,
};
std::string_view RefusalReasonName(RefusalReason reason);

// Tells that a statement won't run.
struct Refusal {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  RefusalReason reason = RefusalReason::kWaitTooLong;
  // When the queue is expected to take such work again.
  TimePoint retry_at;
};

// Tells that a statement is to be sent to an endpoint now. It holds one of the endpoint's slots until it is released.
struct Dispatch {
  WorkId id = 0;
  Rank rank = Rank::kNormal;
  EndpointIndex endpoint = 0;
};

// What the scheduler decided in one call. The caller owns it and reuses its memory.
struct SchedulerActions {
  std::vector<Dispatch> dispatches;
  std::vector<Refusal> refusals;

  void Clear() {
    this->dispatches.clear();
    this->refusals.clear();
  }
};

// Where work may run, as far as an entry VM can tell: writes and reads of zero age go to the primary, other reads to
// the replicas too.
enum class TargetKind : std::uint8_t { kPrimary, kReplicas };
inline constexpr std::size_t kTargetKindCount = 2;

// What a leader tells the entry VMs of its group's load, for one rank and target.
struct RankPressure {
  // The time that a statement admitted now would wait for its slot.
  Duration estimated_wait = Duration::zero();
  // The expected time of service.
  Duration expected_service_time = Duration::zero();
  // The share of the arriving work, 0 to 1, that the entry VMs are to pass on.
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
