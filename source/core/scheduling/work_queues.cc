#include "core/scheduling/work_queues.h"

#include <type_traits>
#include <utility>

namespace amaranthlane::scheduling {

WorkQueues::WorkQueues(QueueOrder order)
    : order(order),
      memory(std::make_unique<std::pmr::unsynchronized_pool_resource>()),
      latest_starts(this->memory.get()),
      works(this->memory.get()) {}

void WorkQueues::Add(QueuedWork work) {
  work.sequence = this->next_sequence++;
  const QueuedWork& stored = this->works.emplace(work.item.id, work).first->second;
  Queue& queue = this->QueueFor(stored.item.rank, stored.eligible);
  queue.places.insert(this->ServingPlace(stored));
  queue.backlog += stored.expected_service;
  this->latest_starts.insert({.time = stored.latest_start, .sequence = stored.sequence, .work = &stored});
  ++this->counts[static_cast<std::size_t>(stored.item.rank)];
  this->bytes += stored.item.bytes;
}

std::optional<QueuedWork> WorkQueues::Take(WorkId id) {
  const auto found = this->works.find(id);
  if (found == this->works.end()) {
    return std::nullopt;
  }
  const QueuedWork work = found->second;
  Queue& queue = this->QueueFor(work.item.rank, work.eligible);
  queue.places.erase(this->ServingPlace(work));
  queue.backlog -= work.expected_service;
  this->latest_starts.erase({.time = work.latest_start, .sequence = work.sequence});
  --this->counts[static_cast<std::size_t>(work.item.rank)];
  this->bytes -= work.item.bytes;
  this->works.erase(found);
  return work;
}

const QueuedWork* WorkQueues::First(Rank rank, EndpointSet endpoints) const {
  const Place* first = nullptr;
  for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
    if ((queue.eligible & endpoints) == 0 || queue.places.empty()) {
      continue;
    }
    const Place& candidate = *queue.places.begin();
    if (first == nullptr || candidate < *first) {
      first = &candidate;
    }
  }
  return first == nullptr ? nullptr : first->work;
}

const QueuedWork* WorkQueues::Last(Rank rank) const {
  const Place* last = nullptr;
  for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
    if (queue.places.empty()) {
      continue;
    }
    const Place& candidate = *queue.places.rbegin();
    if (last == nullptr || *last < candidate) {
      last = &candidate;
    }
  }
  return last == nullptr ? nullptr : last->work;
}

const QueuedWork* WorkQueues::MostPressing() const {
  return this->latest_starts.empty() ? nullptr : this->latest_starts.begin()->work;
}

bool WorkQueues::Contains(WorkId id) const { return this->works.contains(id); }

std::size_t WorkQueues::Count(Rank rank) const { return this->counts[static_cast<std::size_t>(rank)]; }

std::size_t WorkQueues::Bytes() const { return this->bytes; }

WorkQueues::Queue& WorkQueues::QueueFor(Rank rank, EndpointSet eligible) {
  std::vector<Queue>& of_rank = this->queues[static_cast<std::size_t>(rank)];
  Queue* unused = nullptr;
  for (Queue& queue : of_rank) {
    if (queue.eligible == eligible) {
      return queue;
    }
    if (queue.places.empty()) {
      unused = &queue;
    }
  }
  // An empty queue is taken over, so that the number of queues is bounded by the sets that wait at one time.
  if (unused == nullptr) {
    static_assert(std::is_nothrow_move_constructible_v<Queue>, "growing the vector must keep the pool's nodes");
    of_rank.push_back({.places = Places(this->memory.get())});
    unused = &of_rank.back();
  }
  unused->eligible = eligible;
  return *unused;
}

WorkQueues::Place WorkQueues::ServingPlace(const QueuedWork& work) const {
  const TimePoint time = this->order == QueueOrder::kArrival ? work.item.arrival : work.item.deadline;
  return {.time = time, .sequence = work.sequence, .work = &work};
}

}  // namespace amaranthlane::scheduling
