#include "core/scheduling/group_scheduler.h"

#include <algorithm>
#include <bit>

#include "core/scheduling/floor_policy.h"
#include "core/scheduling/scheduling_errors.h"

namespace amaranthlane::scheduling {

namespace {

// A new statement's floor has a weight of 1 / kFloorSmoothing in its rank's mean.
constexpr double kFloorSmoothing = 16.0;
// Minimum interval between two checks of the queues' last statements against the estimated waits.
constexpr Duration kShedInterval = std::chrono::milliseconds(1);
// Maximum number of statements of one rank that one check sheds.
constexpr int kMaxShedPerRank = 64;
// Minimum delay after which a refused caller is told to retry.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(50);

constexpr double kUnsetFloor = -1.0;

}  // namespace

GroupScheduler::GroupScheduler(const SchedulerSettings& settings)
    : settings(settings), policy(MakeRankPolicy(settings.policy)), queues(settings.order) {
  this->floors.fill(kUnsetFloor);
  for (EndpointState& endpoint : this->endpoints) {
    for (ServiceEstimate& estimate : endpoint.service_times) {
      estimate.Reset(settings.initial_service_time);
    }
  }
}

void GroupScheduler::SetSlots(EndpointIndex endpoint, std::uint32_t slots) {
  if (endpoint >= kMaxEndpoints) {
    throw EndpointIndexError(endpoint);
  }
  this->endpoints[endpoint].slots = slots;
  this->endpoint_count = std::max<EndpointIndex>(this->endpoint_count, endpoint + 1);
}

void GroupScheduler::SetPrimary(std::optional<EndpointIndex> endpoint) {
  if (endpoint && *endpoint >= kMaxEndpoints) {
    throw EndpointIndexError(*endpoint);
  }
  this->primary = endpoint;
}

void GroupScheduler::Submit(const WorkItem& item, TimePoint now, SchedulerActions& actions) {
  if (this->queues.Contains(item.id) || this->running.contains(item.id)) {
    throw DuplicateWorkError(item.id);
  }
  this->UpdateFloor(item);
  EndpointSet eligible = item.eligible;
  if (item.fallback != 0 && !this->CanMeetDeadline(item, eligible, now)) {
    eligible |= item.fallback;
  }
  this->admission.CountArrived(item.rank, this->TargetOf(eligible));
  if (this->settings.refuse_unmeetable && !this->CanMeetDeadline(item, eligible, now)) {
    this->Refuse(item, eligible, RefusalReason::kWaitTooLong, now, actions);
  } else if (!this->TryFreeMemory(item, now, actions)) {
    this->Refuse(item, eligible, RefusalReason::kMemoryGuard, now, actions);
  } else {
    this->Admit(item, eligible, now);
  }
}

void GroupScheduler::DispatchWaiting(TimePoint now, SchedulerActions& actions) {
  if (this->settings.refuse_unmeetable) {
    this->RefuseUnmeetable(now, actions);
    this->ShedExcess(now, actions);
  }
  EndpointSet tried = 0;
  while (const std::optional<EndpointIndex> endpoint = this->NextFreeEndpoint(tried)) {
    if (!this->DispatchAt(*endpoint, now, actions)) {
      tried |= EndpointBit(*endpoint);
    }
  }
}

bool GroupScheduler::Withdraw(WorkId id) { return this->queues.Take(id).has_value(); }

void GroupScheduler::Release(WorkId id, bool ran_to_end, TimePoint now) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    throw UnknownWorkError(id);
  }
  const RunningWork work = found->second;
  this->running.erase(found);
  EndpointState& endpoint = this->endpoints[work.endpoint];
  --endpoint.running;
  const Duration slot_time = now - work.started;
  if (ran_to_end) {
    endpoint.service_times[static_cast<std::size_t>(work.rank)].Add(slot_time, now);
  }
  if (work.needs_correction) {
    this->policy->CorrectCharge(work.endpoint, work.rank, slot_time - work.expected_service_time);
  }
}

PressureReport GroupScheduler::Report(TimePoint now) {
  PressureReport report;
  for (const Rank rank : kRanks) {
    for (const TargetKind target : {TargetKind::kPrimary, TargetKind::kReplicas}) {
      RankPressure& pressure = report.Of(rank, target);
      pressure.admission_fraction = this->admission.UpdateAdmissionFraction(rank, target);
      pressure.estimated_wait = kMaxWaitEstimate;
      bool has_backlog = false;
      this->queues.VisitBacklogs(rank, [&](EndpointSet eligible, Duration /*backlog*/) {
        if (this->TargetOf(eligible) == target) {
          has_backlog = true;
          // The shortest of the waits, so that an entry VM refuses only what would certainly be refused here.
          pressure.estimated_wait = std::min(pressure.estimated_wait, this->EstimateWait(rank, eligible, now));
          pressure.expected_service_time = this->FastestServiceTime(rank, eligible, now);
        }
      });
      if (!has_backlog) {
        pressure.estimated_wait = Duration::zero();
      }
    }
  }
  return report;
}

Duration GroupScheduler::EstimateWait(Rank rank, EndpointSet eligible, TimePoint now) const {
  return this->policy->EstimateWait(rank, this->LoadsFor(eligible, now));
}

TimePoint GroupScheduler::NextExpiry() const {
  const QueuedWork* earliest = this->queues.EarliestLatestStart();
  return earliest == nullptr || !this->settings.refuse_unmeetable ? kNever : earliest->latest_start;
}

std::size_t GroupScheduler::Waiting(Rank rank) const { return this->queues.Count(rank); }

std::size_t GroupScheduler::Running(EndpointIndex endpoint) const { return this->endpoints.at(endpoint).running; }

std::uint32_t GroupScheduler::Slots(EndpointIndex endpoint) const { return this->endpoints.at(endpoint).slots; }

std::size_t GroupScheduler::WaitingBytes() const { return this->queues.Bytes(); }

GroupScheduler::ResolvedSet GroupScheduler::Resolve(EndpointSet eligible) const {
  ResolvedSet resolved;
  if ((eligible & kPrimaryBit) != 0 && this->primary) {
    eligible |= EndpointBit(*this->primary);
  }
  for (EndpointIndex index = 0; index < this->endpoint_count; ++index) {
    if ((eligible & EndpointBit(index)) != 0 && this->endpoints[index].slots > 0) {
      resolved.endpoints |= EndpointBit(index);
      resolved.slots += this->endpoints[index].slots;
    }
  }
  if (resolved.endpoints == 0) {
    // The statements wait for a new primary or for the endpoint's return. Their queue is bounded as if it were served.
    resolved.slots = this->settings.assumed_primary_slots;
  }
  return resolved;
}

TargetKind GroupScheduler::TargetOf(EndpointSet eligible) const {
  const EndpointSet primary_set = kPrimaryBit | (this->primary ? EndpointBit(*this->primary) : 0);
  return (eligible & ~primary_set) == 0 ? TargetKind::kPrimary : TargetKind::kReplicas;
}

Duration GroupScheduler::MeanServiceTime(Rank rank, EndpointSet eligible, TimePoint now) const {
  const ResolvedSet resolved = this->Resolve(eligible);
  if (resolved.endpoints == 0) {
    return this->settings.initial_service_time;
  }
  double nanoseconds = 0.0;
  for (EndpointSet remaining = resolved.endpoints; remaining != 0; remaining &= remaining - 1) {
    const EndpointState& endpoint = this->endpoints[static_cast<std::size_t>(std::countr_zero(remaining))];
    const Duration expected = endpoint.service_times[static_cast<std::size_t>(rank)].Expected(now);
    nanoseconds += static_cast<double>(expected.count()) * endpoint.slots;
  }
  return Duration(static_cast<Duration::rep>(nanoseconds / resolved.slots));
}

Duration GroupScheduler::FastestServiceTime(Rank rank, EndpointSet eligible, TimePoint now) const {
  const ResolvedSet resolved = this->Resolve(eligible);
  if (resolved.endpoints == 0) {
    return this->settings.initial_service_time;
  }
  Duration fastest = Duration::max();
  for (EndpointSet remaining = resolved.endpoints; remaining != 0; remaining &= remaining - 1) {
    const EndpointState& endpoint = this->endpoints[static_cast<std::size_t>(std::countr_zero(remaining))];
    fastest = std::min(fastest, endpoint.service_times[static_cast<std::size_t>(rank)].Expected(now));
  }
  return fastest;
}

RankLoads GroupScheduler::LoadsFor(EndpointSet eligible, TimePoint now) const {
  const ResolvedSet own = this->Resolve(eligible);
  RankLoads loads;
  loads.slots = own.slots;
  loads.floors = this->EffectiveFloors();
  for (const Rank rank : kRanks) {
    Duration& backlog = loads.backlogs[static_cast<std::size_t>(rank)];
    this->queues.VisitBacklogs(rank, [&](EndpointSet other_eligible, Duration other_backlog) {
      if (other_eligible == eligible) {
        backlog += other_backlog;
        return;
      }
      // Of another queue's backlog, only the part that the shared endpoints are expected to serve counts.
      const ResolvedSet other = this->Resolve(other_eligible);
      const double shared = other.endpoints == 0 ? 0.0 : this->Resolve(other.endpoints & own.endpoints).slots;
      if ((other.endpoints & own.endpoints) != 0) {
        const double part = static_cast<double>(other_backlog.count()) * shared / other.slots;
        backlog += Duration(static_cast<Duration::rep>(part));
      }
    });
    for (EndpointSet remaining = own.endpoints; remaining != 0; remaining &= remaining - 1) {
      const auto index = static_cast<EndpointIndex>(std::countr_zero(remaining));
      loads.admitted_slots[static_cast<std::size_t>(rank)] += this->admission.AdmittedSlots(rank, index, now);
    }
  }
  return loads;
}

RankFloors GroupScheduler::EffectiveFloors() const {
  RankFloors effective{};
  double sum = 0.0;
  for (std::size_t lower = 1; lower < kRankCount; ++lower) {
    effective[lower] = std::max(this->floors[lower], 0.0);
    sum += effective[lower];
  }
  if (sum > kMaxFloorSum) {
    for (double& floor : effective) {
      floor *= kMaxFloorSum / sum;
    }
  }
  return effective;
}

void GroupScheduler::UpdateFloor(const WorkItem& item) {
  double& floor = this->floors[static_cast<std::size_t>(item.rank)];
  const double requested = std::clamp(item.floor, 0.0, 1.0);
  floor = floor == kUnsetFloor ? requested : floor + (requested - floor) / kFloorSmoothing;
}

bool GroupScheduler::CanMeetDeadline(const WorkItem& item, EndpointSet eligible, TimePoint now) const {
  const Duration wait = this->EstimateWait(item.rank, eligible, now);
  return now + wait + this->FastestServiceTime(item.rank, eligible, now) <= item.deadline;
}

void GroupScheduler::Admit(const WorkItem& item, EndpointSet eligible, TimePoint now) {
  const Duration expected = this->MeanServiceTime(item.rank, eligible, now);
  const Duration fastest = this->FastestServiceTime(item.rank, eligible, now);
  this->queues.Add({.item = item,
                    .eligible = eligible,
                    .expected_service_time = expected,
                    .latest_start = item.deadline == kNever ? kNever : item.deadline - fastest});
  const ResolvedSet resolved = this->Resolve(eligible);
  for (EndpointSet remaining = resolved.endpoints; remaining != 0; remaining &= remaining - 1) {
    const auto index = static_cast<EndpointIndex>(std::countr_zero(remaining));
    const double part = static_cast<double>(expected.count()) * this->endpoints[index].slots / resolved.slots;
    this->admission.CountAdmitted(item.rank, index, Duration(static_cast<Duration::rep>(part)), now);
  }
}

bool GroupScheduler::TryFreeMemory(const WorkItem& item, TimePoint now, SchedulerActions& actions) {
  for (std::size_t lowest = kRankCount - 1; lowest > static_cast<std::size_t>(item.rank); --lowest) {
    while (this->queues.Bytes() + item.bytes > this->settings.memory_limit_bytes) {
      const QueuedWork* last = this->queues.Last(kRanks[lowest]);
      if (last == nullptr) {
        break;
      }
      this->RefuseQueued(*last, RefusalReason::kShed, now, actions);
    }
  }
  return this->queues.Bytes() + item.bytes <= this->settings.memory_limit_bytes;
}

void GroupScheduler::Refuse(const WorkItem& item, EndpointSet eligible, RefusalReason reason, TimePoint now,
                            SchedulerActions& actions) {
  this->admission.CountRefused(item.rank, this->TargetOf(eligible));
  const Duration wait = std::max(this->EstimateWait(item.rank, eligible, now), kMinRetryDelay);
  actions.refusals.push_back({.id = item.id, .rank = item.rank, .reason = reason, .retry_at = now + wait});
}

void GroupScheduler::RefuseQueued(const QueuedWork& work, RefusalReason reason, TimePoint now,
                                  SchedulerActions& actions) {
  const std::optional<QueuedWork> taken = this->queues.Take(work.item.id);
  this->Refuse(taken->item, taken->eligible, reason, now, actions);
}

void GroupScheduler::RefuseUnmeetable(TimePoint now, SchedulerActions& actions) {
  const QueuedWork* earliest = this->queues.EarliestLatestStart();
  while (earliest != nullptr && earliest->latest_start < now) {
    this->RefuseQueued(*earliest, RefusalReason::kDeadlineUnmeetable, now, actions);
    earliest = this->queues.EarliestLatestStart();
  }
}

void GroupScheduler::ShedExcess(TimePoint now, SchedulerActions& actions) {
  if (now < this->next_shed_time) {
    return;
  }
  this->next_shed_time = now + kShedInterval;
  for (std::size_t lowest = kRankCount; lowest-- > 0;) {
    for (int shed = 0; shed < kMaxShedPerRank; ++shed) {
      const QueuedWork* excess = nullptr;
      this->queues.VisitLast(kRanks[lowest], [&](const QueuedWork& last) {
        excess = excess == nullptr && this->WillMissLatestStart(last, now) ? &last : excess;
      });
      if (excess == nullptr) {
        break;
      }
      this->RefuseQueued(*excess, RefusalReason::kShed, now, actions);
    }
  }
}

bool GroupScheduler::WillMissLatestStart(const QueuedWork& work, TimePoint now) const {
  RankLoads loads = this->LoadsFor(work.eligible, now);
  // The statement's own service time is no part of its wait.
  loads.backlogs[static_cast<std::size_t>(work.item.rank)] -= work.expected_service_time;
  return work.latest_start != kNever && now + this->policy->EstimateWait(work.item.rank, loads) > work.latest_start;
}

std::optional<EndpointIndex> GroupScheduler::NextFreeEndpoint(EndpointSet tried) const {
  std::optional<EndpointIndex> best;
  std::uint32_t best_free = 0;
  for (EndpointIndex index = 0; index < this->endpoint_count; ++index) {
    const EndpointState& endpoint = this->endpoints[index];
    if ((tried & EndpointBit(index)) != 0 || endpoint.running >= endpoint.slots) {
      continue;
    }
    // The primary is tried last, so that reads which may run on either go to a replica.
    const std::uint32_t free = index == this->primary ? 0 : endpoint.slots - endpoint.running;
    if (!best || free > best_free) {
      best = index;
      best_free = free;
    }
  }
  return best;
}

bool GroupScheduler::DispatchAt(EndpointIndex endpoint, TimePoint now, SchedulerActions& actions) {
  const RankHeads heads = this->QueueHeadsAt(endpoint, now);
  const std::optional<Rank> rank = this->policy->ChooseRank(endpoint, heads);
  if (!rank) {
    return false;
  }
  const QueuedWork* first = this->FirstQueuedAt(endpoint, *rank);
  const TimePoint deadline = first->item.deadline;
  if (this->settings.refuse_unmeetable && now + this->FastestServiceTime(*rank, first->eligible, now) > deadline) {
    // The service has become slower since the admission of the statement.
    this->RefuseQueued(*first, RefusalReason::kDeadlineUnmeetable, now, actions);
    return true;
  }
  const QueuedWork work = *this->queues.Take(first->item.id);
  const bool needs_correction = this->policy->Charge(endpoint, *rank, heads, this->EffectiveFloors());
  ++this->endpoints[endpoint].running;
  this->running.emplace(
      work.item.id, RunningWork{.rank = *rank,
                                .endpoint = endpoint,
                                .started = now,
                                .expected_service_time = heads[static_cast<std::size_t>(*rank)].expected_service_time,
                                .needs_correction = needs_correction});
  actions.dispatches.push_back({.id = work.item.id, .rank = *rank, .endpoint = endpoint});
  return true;
}

const QueuedWork* GroupScheduler::FirstQueuedAt(EndpointIndex endpoint, Rank rank) const {
  const EndpointSet primary_bit = endpoint == this->primary ? kPrimaryBit : 0;
  return this->queues.First(rank, EndpointBit(endpoint) | primary_bit);
}

RankHeads GroupScheduler::QueueHeadsAt(EndpointIndex endpoint, TimePoint now) const {
  RankHeads heads;
  for (const Rank rank : kRanks) {
    if (const QueuedWork* first = this->FirstQueuedAt(endpoint, rank); first != nullptr) {
      RankHead& head = heads[static_cast<std::size_t>(rank)];
      head.waiting = true;
      head.arrival = first->item.arrival;
      head.expected_service_time =
          this->endpoints[endpoint].service_times[static_cast<std::size_t>(rank)].Expected(now);
    }
  }
  return heads;
}

}  // namespace amaranthlane::scheduling
