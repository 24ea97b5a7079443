#ifndef AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_
#define AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <memory_resource>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

// The order in which the statements of one rank are served.
enum class QueueOrder : std::uint8_t { kEarliestDeadline, kArrival };

// A queued statement with the estimates made on its admission.
struct QueuedWork {
  WorkItem item;
  // The set of endpoints that identifies its queue.
  EndpointSet eligible = 0;
  // The time for which it is expected to occupy a slot.
  Duration expected_service_time = Duration::zero();
  // The latest time at which it can start and still meet its deadline.
  TimePoint latest_start = kNever;
  // Increases with each statement that is added.
  std::uint64_t sequence = 0;
};

// The waiting statements of one group: one ordered queue for each rank and set of eligible endpoints. Few sets are in
// use (the primary, the replicas, all of them), so the queues of a rank are scanned one by one. Nodes are allocated
// from a pool.
class WorkQueues {
 public:
  explicit WorkQueues(QueueOrder order);

  // Adds a statement and sets its `sequence`.
  void Add(QueuedWork work);
  // Removes a statement and returns it; none if it isn't queued.
  std::optional<QueuedWork> Take(WorkId id);
  // The next statement of `rank` in the queues that share an endpoint with `endpoints`; null if there is none.
  const QueuedWork* First(Rank rank, EndpointSet endpoints) const;
  // The last statement of `rank` in the order of service, over all queues; null if there is none.
  const QueuedWork* Last(Rank rank) const;
  // The statement whose `latest_start` is earliest; null if the queues are empty.
  const QueuedWork* EarliestLatestStart() const;
  // For each set of endpoints with waiting statements of `rank`, calls visit(EndpointSet, Duration) with the set and
  // the total slot time that these statements are expected to take.
  template <typename Visit>
  void VisitBacklogs(Rank rank, Visit&& visit) const {
    for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
      if (!queue.entries.empty()) {
        visit(queue.eligible, queue.backlog);
      }
    }
  }

  // For each set of endpoints with waiting statements of `rank`, calls visit(const QueuedWork&) with the last of them
  // in the order of service.
  template <typename Visit>
  void VisitLast(Rank rank, Visit&& visit) const {
    for (const Queue& queue : this->queues[static_cast<std::size_t>(rank)]) {
      if (!queue.entries.empty()) {
        visit(*queue.entries.rbegin()->work);
      }
    }
  }

  bool Contains(WorkId id) const;
  std::size_t Count(Rank rank) const;
  std::size_t Bytes() const;

 private:
  // An entry of an ordered set. `sequence` makes its key unique.
  struct Entry {
    TimePoint time;
    std::uint64_t sequence = 0;
    const QueuedWork* work = nullptr;

    bool operator<(const Entry& other) const {
      return this->time != other.time ? this->time < other.time : this->sequence < other.sequence;
    }
  };
  using Entries = std::pmr::set<Entry>;
  struct Queue {
    EndpointSet eligible = 0;
    Duration backlog = Duration::zero();
    Entries entries;
  };

  Queue& QueueFor(Rank rank, EndpointSet eligible);
  Entry ServiceOrderEntry(const QueuedWork& work) const;

  QueueOrder order;
  std::unique_ptr<std::pmr::unsynchronized_pool_resource> memory;
  std::array<std::vector<Queue>, kRankCount> queues;
  std::array<std::size_t, kRankCount> counts{};
  Entries by_latest_start;
  std::pmr::unordered_map<WorkId, QueuedWork> queued_work;
  std::size_t bytes = 0;
  std::uint64_t next_sequence = 0;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_
