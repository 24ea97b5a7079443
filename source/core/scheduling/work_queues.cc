#include "core/scheduling/work_queues.h"

#include <type_traits>
#include <utility>

namespace amaranthlane::scheduling {

WorkQueues::WorkQueues(QueueOrder order)
    : order(order),
      memory(std::make_unique<std::pmr::unsynchronized_pool_resource>()),
      by_latest_start(this->memory.get()),
      queued_work(this->memory.get()) {}

void WorkQueues::Add(QueuedWork work) {
  work.sequence = this->next_sequence++;
  const QueuedWork& stored = this->queued_work.emplace(work.item.id, work).first->second;
  Queue& queue = this->QueueFor(stored.item.rank, stored.eligible);
  queue.entries.insert(this->ServiceOrderEntry(stored));
  queue.backlog += stored.expected_service_time;
  this->by_latest_start.insert({.time = stored.latest_start, .sequence = stored.sequence, .work = &stored});
  ++this->counts[static_cast<std::size_t>(stored.item.rank)];
  this->bytes += stored.item.bytes;
}

std::optional<QueuedWork> WorkQueues::Take(WorkId id) {
  const auto found = this->queued_work.find(id);
  if (found == this->queued_work.end()) {
    return std::nullopt;
  }
  const QueuedWork work = found->second;
  Queue& queue = this->QueueFor(work.item.rank, work.eligible);
  queue.entries.erase(this->ServiceOrderEntry(work));
  queue.backlog -= work.expected_service_time;
  this->by_latest_start.erase({.time = work.latest_start, .sequence = work.sequence});
  --this->counts[static_cast<std::size_t>(work.item.rank)];
  this->bytes -= work.item.bytes;
  this->queued_work.erase(found);
  return work;
}

const QueuedWork* WorkQueues::First(Rank rank, EndpointSet endpoints) const {
  const Entry* first = nullptr;
  for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
    if ((queue.eligible & endpoints) == 0 || queue.entries.empty()) {
      continue;
    }
    const Entry& candidate = *queue.entries.begin();
    if (first == nullptr || candidate < *first) {
      first = &candidate;
    }
  }
  return first == nullptr ? nullptr : first->work;
}

const QueuedWork* WorkQueues::Last(Rank rank) const {
  const Entry* last = nullptr;
  for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
    if (queue.entries.empty()) {
      continue;
    }
    const Entry& candidate = *queue.entries.rbegin();
    if (last == nullptr || *last < candidate) {
      last = &candidate;
    }
  }
  return last == nullptr ? nullptr : last->work;
}

const QueuedWork* WorkQueues::EarliestLatestStart() const {
  return this->by_latest_start.empty() ? nullptr : this->by_latest_start.begin()->work;
}

bool WorkQueues::Contains(WorkId id) const { return this->queued_work.contains(id); }

std::size_t WorkQueues::Count(Rank rank) const { return this->counts[static_cast<std::size_t>(rank)]; }

std::size_t WorkQueues::Bytes() const { return this->bytes; }

WorkQueues::Queue& WorkQueues::QueueFor(Rank rank, EndpointSet eligible) {
  std::vector<Queue>& rank_queues = this->queues[static_cast<std::size_t>(rank)];
  Queue* unused = nullptr;
  for (Queue& queue : rank_queues) {
    if (queue.eligible == eligible) {
      return queue;
    }
    if (queue.entries.empty()) {
      unused = &queue;
    }
  }
  // An empty queue is reused, so that there are no more queues than sets of endpoints with statements waiting at one
  // time.
  if (unused == nullptr) {
    static_assert(std::is_nothrow_move_constructible_v<Queue>,
                  "growing the vector must move the queues, not copy their nodes");
    rank_queues.push_back({.entries = Entries(this->memory.get())});
    unused = &rank_queues.back();
  }
  unused->eligible = eligible;
  return *unused;
}

WorkQueues::Entry WorkQueues::ServiceOrderEntry(const QueuedWork& work) const {
  const TimePoint time = this->order == QueueOrder::kArrival ? work.item.arrival : work.item.deadline;
  return {.time = time, .sequence = work.sequence, .work = &work};
}

}  // namespace amaranthlane::scheduling
