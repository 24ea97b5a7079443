#ifndef AMARANTHLANE_CORE_SCHEDULING_GROUP_SCHEDULER_H_
#define AMARANTHLANE_CORE_SCHEDULING_GROUP_SCHEDULER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/scheduling/admission_control.h"
#include "core/scheduling/rank_policy.h"
#include "core/scheduling/service_estimate.h"
#include "core/scheduling/work_item.h"
#include "core/scheduling/work_queues.h"

namespace amaranthlane::scheduling {

// How a group's scheduler behaves.
struct SchedulerSettings {
  PolicyKind policy = PolicyKind::kFloors;
  QueueOrder order = QueueOrder::kArrival;
  // False: nothing is refused for its deadline; a baseline for measurements.
  bool refuse_unmeetable = true;
  // The most memory that waiting statements may take.
  std::size_t memory_limit_bytes = std::size_t{64} * 1024 * 1024;
  // The slots that are assumed for a primary while there is none.
  std::uint32_t assumed_primary_slots = 2;
  // The time of service that is assumed of an endpoint before any statement has ended there.
  Duration initial_service_time = std::chrono::milliseconds(2);
};

// Gives the slots of one database group's endpoints to the waiting statements. All of the group's work meets here, at
// its leader. Every call takes O(log n) for n waiting statements, times the few distinct sets of endpoints in use.
class GroupScheduler {
 public:
  explicit GroupScheduler(const SchedulerSettings& settings);

  // Sets the number of statements that `endpoint` runs at once. Zero: it gets no new work (leaving or unreachable).
  // Throws EndpointIndexError when the index is out of range.
  void SetSlots(EndpointIndex endpoint, std::uint32_t slots);
  // Sets the endpoint that kPrimaryBit stands for. Nothing: statements for the primary wait.
  void SetPrimary(std::optional<EndpointIndex> endpoint);

  // Queues a statement or refuses it; either way other statements of lower ranks may be refused to make room.
  // Throws DuplicateWorkError when the id is queued or runs already.
  void Submit(const WorkItem& item, TimePoint now, SchedulerActions& actions);
  // Fills the free slots and refuses what can no longer meet its deadline.
  void DispatchWaiting(TimePoint now, SchedulerActions& actions);
  // Takes a statement out of the queue, e.g. when its caller has gone. False: it isn't queued (it runs or has ended).
  bool Withdraw(WorkId id);
  // Frees the slot of a statement that ended. The time of service enters the estimates if `ran_to_end`; a statement
  // that the endpoint refused before running, or whose connection was lost, says nothing about the time of service.
  // Throws UnknownWorkError when no such statement runs.
  void Release(WorkId id, bool ran_to_end, TimePoint now);

  // The load to report to the entry VMs. To be called once per report interval: the admission fraction moves with each.
  PressureReport Report(TimePoint now);
  // The time that a statement submitted now would wait.
  Duration EstimateWait(Rank rank, EndpointSet eligible, TimePoint now) const;
  // When DispatchWaiting has something to refuse, if nothing else happens before. kNever: nothing waits.
  TimePoint NextExpiry() const;

  std::size_t Waiting(Rank rank) const;
  std::size_t Running(EndpointIndex endpoint) const;
  std::uint32_t Slots(EndpointIndex endpoint) const;
  std::size_t WaitingBytes() const;

 private:
  struct RunningWork {
    Rank rank = Rank::kNormal;
    EndpointIndex endpoint = 0;
    TimePoint started;
    Duration expected_service_time = Duration::zero();
    // The policy is to learn the real slot time.
    bool needs_correction = false;
  };
  struct EndpointState {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::array<ServiceEstimate, kRankCount> service;
  };
  // The endpoints of a set and their slots.
  struct ResolvedSet {
    EndpointSet endpoints = 0;
    double slots = 0.0;
  };

  ResolvedSet Resolve(EndpointSet eligible) const;
  TargetKind TargetOf(EndpointSet eligible) const;
  // The mean over the slots of the set, as the queue is served by all of them.
  Duration MeanService(Rank rank, EndpointSet eligible, TimePoint now) const;
  // That of the fastest endpoint of the set: what can't be met there can't be met at all.
  Duration FastestService(Rank rank, EndpointSet eligible, TimePoint now) const;
  RankLoads LoadsFor(EndpointSet eligible, TimePoint now) const;
  RankFloors EffectiveFloors() const;
  void UpdateFloor(const WorkItem& item);
  bool CanMeetDeadline(const WorkItem& item, EndpointSet eligible, TimePoint now) const;
  void Admit(const WorkItem& item, EndpointSet eligible, TimePoint now);
  bool TryFreeMemory(const WorkItem& item, TimePoint now, SchedulerActions& actions);
  void Refuse(const WorkItem& item, EndpointSet eligible, RefusalReason reason, TimePoint now,
              SchedulerActions& actions);
  void RefuseQueued(const QueuedWork& work, RefusalReason reason, TimePoint now, SchedulerActions& actions);
  void RefuseUnmeetable(TimePoint now, SchedulerActions& actions);
  void ShedExcess(TimePoint now, SchedulerActions& actions);
  bool WillMissLatestStart(const QueuedWork& work, TimePoint now) const;
  std::optional<EndpointIndex> NextFreeEndpoint(EndpointSet tried) const;
  bool DispatchAt(EndpointIndex endpoint, TimePoint now, SchedulerActions& actions);
  const QueuedWork* FirstQueuedAt(EndpointIndex endpoint, Rank rank) const;
  RankHeads QueueHeadsAt(EndpointIndex endpoint, TimePoint now) const;

  SchedulerSettings settings;
  std::unique_ptr<RankPolicy> policy;
  WorkQueues queues;
  AdmissionControl admission;
  std::array<EndpointState, kMaxEndpoints> endpoints;
  // One more than the highest index in use.
  EndpointIndex endpoint_count = 0;
  std::optional<EndpointIndex> primary;
  // The moving mean of the floors that each rank's work states; negative before the first.
  RankFloors floors;
  TimePoint next_shed_time = TimePoint::min();
  std::unordered_map<WorkId, RunningWork> running;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_GROUP_SCHEDULER_H_
