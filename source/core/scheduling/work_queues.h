#ifndef AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_
#define AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
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

// A statement in the queue with what was expected of it on admission.
struct QueuedWork {
  WorkItem item;
  // The endpoints whose queue it stands in.
  EndpointSet eligible = 0;
  Duration expected_service = Duration::zero();
  // Rises with each statement.
  std::uint64_t sequence = 0;
};

// The waiting statements of one group: one ordered queue for each rank and set of eligible endpoints. The sets in use
// are few (the primary, the replicas, all of them), so the queues of a rank are walked one by one.
class WorkQueues {
 public:
  explicit WorkQueues(QueueOrder order);

  void Add(const WorkItem& item, EndpointSet eligible, Duration expected_service);
  // Takes a statement out; nothing if it isn't queued.
  std::optional<QueuedWork> Take(WorkId id);
  // The next statement of `rank` among the queues that share an endpoint with `endpoints`; null if there is none.
  const QueuedWork* First(Rank rank, EndpointSet endpoints) const;
  // The newest statement of `rank` in the queues that share an endpoint with `endpoints`; null if there is none.
  const QueuedWork* Newest(Rank rank, EndpointSet endpoints) const;
  // The statement whose last moment to start comes first, and that moment; null if the queues are empty.
  const QueuedWork* MostPressing() const;
  // The last moment to start of MostPressing, by the service time expected on admission; kNever if the queues are
  // empty.
  TimePoint EarliestLatestStart() const;
  // Calls `visit` with each set of endpoints that has statements of `rank` waiting, and their expected slot time.
  void VisitBacklogs(Rank rank, const std::function<void(EndpointSet, Duration)>& visit) const;

  bool Contains(WorkId id) const;
  std::size_t Count(Rank rank) const;
  std::size_t Bytes() const;

 private:
  // A place in one of the orders; `sequence` makes it unique.
  struct Place {
    TimePoint time;
    std::uint64_t sequence = 0;
    const QueuedWork* work = nullptr;

    bool operator<(const Place& other) const {
      return this->time != other.time ? this->time < other.time : this->sequence < other.sequence;
    }
  };
  using Places = std::pmr::set<Place>;
  struct Queue {
    EndpointSet eligible = 0;
    Duration backlog = Duration::zero();
    Places serving;
    Places arrivals;
  };

  Queue& QueueFor(Rank rank, EndpointSet eligible);
  Place ServingPlace(const QueuedWork& work) const;

  QueueOrder order;
  std::unique_ptr<std::pmr::unsynchronized_pool_resource> memory;
  std::array<std::vector<Queue>, kRankCount> queues;
  std::array<std::size_t, kRankCount> counts{};
  Places latest_starts;
  std::pmr::unordered_map<WorkId, QueuedWork> works;
  std::size_t bytes = 0;
  std::uint64_t next_sequence = 0;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_WORK_QUEUES_H_
