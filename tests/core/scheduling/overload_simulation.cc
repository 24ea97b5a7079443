#include "core/scheduling/overload_simulation.h"

#include <algorithm>

namespace amaranthlane::scheduling {

Duration FlowResult::Percentile(double share) {
  if (this->latencies.empty()) {
    return Duration::zero();
  }
  std::sort(this->latencies.begin(), this->latencies.end());
  const auto last = static_cast<double>(this->latencies.size() - 1);
  return this->latencies[static_cast<std::size_t>(share * last)];
}

OverloadSimulation::OverloadSimulation(const SchedulerSettings& settings, std::uint64_t seed)
    : scheduler(settings), generator(seed) {}

void OverloadSimulation::AddEndpoint(EndpointIndex endpoint, std::uint32_t slots) {
  this->scheduler.SetSlots(endpoint, slots);
  if (endpoint == 0) {
    this->scheduler.SetPrimary(endpoint);
  }
}

void OverloadSimulation::AddFlow(const Flow& flow) {
  this->flows.push_back(flow);
  this->ScheduleArrival(this->flows.size() - 1);
}

void OverloadSimulation::Run(Duration span) {
  const TimePoint end = this->now + span;
  while (this->now < end) {
    TimePoint next =
        std::min(end, this->scheduler.NextExpiry() == kNever ? end : this->scheduler.NextExpiry() + Duration(1));
    next = this->arrivals.empty() ? next : std::min(next, this->arrivals.top().time);
    next = this->completions.empty() ? next : std::min(next, this->completions.top().time);
    this->now = std::max(this->now + Duration(1), next);
    while (!this->completions.empty() && this->completions.top().time <= this->now) {
      const WorkId id = this->completions.top().id;
      this->completions.pop();
      this->Complete(id);
    }
    while (!this->arrivals.empty() && this->arrivals.top().time <= this->now) {
      const std::size_t flow = this->arrivals.top().flow;
      this->arrivals.pop();
      this->Arrive(flow);
    }
    this->scheduler.DispatchWaiting(this->now, this->actions);
    this->Apply();
  }
}

void OverloadSimulation::ScheduleArrival(std::size_t flow) {
  const double gap = std::exponential_distribution<double>(this->flows[flow].arrivals_per_second)(this->generator);
  const auto nanoseconds = static_cast<Duration::rep>(gap * 1e9) + 1;
  this->arrivals.push({.time = this->now + Duration(nanoseconds), .flow = flow});
}

void OverloadSimulation::Arrive(std::size_t flow_index) {
  const Flow& flow = this->flows[flow_index];
  const WorkId id = this->next_id++;
  ++this->results[static_cast<std::size_t>(flow.rank)].arrived;
  this->pending[id] = {.flow = flow_index, .arrival = this->now};
  WorkItem item;
  item.id = id;
  item.rank = flow.rank;
  item.floor = flow.floor;
  item.arrival = this->now;
  item.deadline = this->now + flow.time_limit;
  item.eligible = flow.eligible;
  this->scheduler.Submit(item, this->now, this->actions);
  this->ScheduleArrival(flow_index);
}

void OverloadSimulation::Complete(WorkId id) {
  const Pending work = this->pending.at(id);
  const Flow& flow = this->flows[work.flow];
  FlowResult& result = this->results[static_cast<std::size_t>(flow.rank)];
  const Duration latency = this->now - work.arrival;
  result.latencies.push_back(latency);
  ++(latency <= flow.time_limit ? result.in_time : result.late);
  this->pending.erase(id);
  this->scheduler.Release(id, /*ran_to_end=*/true, this->now);
}

void OverloadSimulation::Apply() {
  for (const Dispatch& dispatch : this->actions.dispatches) {
    const Pending& work = this->pending.at(dispatch.id);
    const Flow& flow = this->flows[work.flow];
    const double factor = std::uniform_real_distribution<double>(0.5, 1.5)(this->generator);
    const Duration service_time(static_cast<Duration::rep>(static_cast<double>(flow.service_time.count()) * factor));
    this->results[static_cast<std::size_t>(flow.rank)].slot_time += service_time;
    this->unmeetable_dispatches += this->now + flow.service_time / 2 > work.arrival + flow.time_limit ? 1 : 0;
    this->completions.push({.time = this->now + service_time, .id = dispatch.id});
  }
  for (const Refusal& refusal : this->actions.refusals) {
    ++this->results[static_cast<std::size_t>(refusal.rank)].refused;
    this->pending.erase(refusal.id);
  }
  this->actions.Clear();
}

}  // namespace amaranthlane::scheduling
