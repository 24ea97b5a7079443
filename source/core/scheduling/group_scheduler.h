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

// The settings of a group's scheduler.
struct SchedulerSettings {
  PolicyKind policy = PolicyKind::kFloors;
  QueueOrder order = QueueOrder::kArrival;
  // False: no statement is refused because of its deadline. A baseline for measurements.
  bool refuse_unmeetable = true;
  // Maximum memory of all waiting statements.
  std::size_t memory_limit_bytes = std::size_t{64} * 1024 * 1024;
  // The number of slots assumed for a primary while there is none.
  std::uint32_t assumed_primary_slots = 2;
  // The service time assumed for an endpoint until the first statement has ended there.
  Duration initial_service_time = std::chrono::milliseconds(2);
};

// Assigns the slots of one database group's endpoints to the waiting statements. All work of the group is scheduled
// here, at its leader. Each call takes O(log n) for n waiting statements, times the small number of distinct sets of
// endpoints in use.
class GroupScheduler {
 public:
  explicit GroupScheduler(const SchedulerSettings& settings);

  // Sets the number of statements that `endpoint` runs concurrently. Zero: it gets no new work, because it is leaving
  // or unreachable. Throws EndpointIndexError when the index is out of range.
  void SetSlots(EndpointIndex endpoint, std::uint32_t slots);
  // Sets the endpoint that kPrimaryBit stands for. None: statements for the primary wait.
  void SetPrimary(std::optional<EndpointIndex> endpoint);

  // Queues a statement or refuses it. In both cases statements of lower ranks may be refused to free memory. Throws
  // DuplicateWorkError when a statement with the same id is queued or running.
  void Submit(const WorkItem& item, TimePoint now, SchedulerActions& actions);
  // Refuses the statements that can no longer meet their deadline, and dispatches waiting statements to free slots.
  void DispatchWaiting(TimePoint now, SchedulerActions& actions);
  // Removes a statement from the queue, e.g. when its caller has disconnected. Returns false if it isn't queued,
  // because it is running or has ended.
  bool Withdraw(WorkId id);
  // Frees the slot of a statement that has ended. Its service time enters the estimates only if `ran_to_end`: a
  // statement that the endpoint refused before running it, or whose connection was lost, says nothing about the service
  // time. Throws UnknownWorkError when no such statement is running.
  void Release(WorkId id, bool ran_to_end, TimePoint now);

  // The load to report to the entry VMs. To be called once per report interval, because each call adjusts the admission
  // fractions.
  PressureReport Report(TimePoint now);
  // The estimated time that a statement submitted now would wait for a slot.
  Duration EstimateWait(Rank rank, EndpointSet eligible, TimePoint now) const;
  // When DispatchWaiting next has a statement to refuse, if nothing else happens before; kNever if there is none.
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
    // The policy's charge is to be corrected by the actual slot time.
    bool needs_correction = false;
  };
  struct EndpointState {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::array<ServiceEstimate, kRankCount> service_times;
  };
  // The endpoints of a set that have slots, and the sum of their slots.
  struct ResolvedSet {
    EndpointSet endpoints = 0;
    double slots = 0.0;
  };

  ResolvedSet Resolve(EndpointSet eligible) const;
  TargetKind TargetOf(EndpointSet eligible) const;
  // The mean service time, weighted by slots, as all endpoints of the set serve its queue.
  Duration MeanServiceTime(Rank rank, EndpointSet eligible, TimePoint now) const;
  // The service time at the fastest endpoint of the set. A deadline that can't be met there can't be met at all.
  Duration FastestServiceTime(Rank rank, EndpointSet eligible, TimePoint now) const;
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
  // By rank, the moving average of the floors that its statements request; negative before the first statement.
  RankFloors floors;
  TimePoint next_shed_time = TimePoint::min();
  std::unordered_map<WorkId, RunningWork> running;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_GROUP_SCHEDULER_H_
