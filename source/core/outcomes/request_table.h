#ifndef AMARANTHLANE_CORE_OUTCOMES_REQUEST_TABLE_H_
#define AMARANTHLANE_CORE_OUTCOMES_REQUEST_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/outcomes/request.h"

namespace amaranthlane::outcomes {

// The settings of the request table.
struct RequestTableSettings {
  // Maximum time that a statement may remain unanswered before its connection counts as silent.
  Duration progress_timeout = std::chrono::seconds(1);
};

// The open requests of one group at its leader. After each event the table decides whether a request is sent, sent
// again or ended, and which outcome its caller may be told. Each call takes O(log n) for n open requests, except
// TermMoved, LeadershipEnded and Shutdown, which visit all of them.
//
// A request starts as queued, and whoever opens it submits it to the scheduler. When the scheduler dispatches the
// request, Dispatch decides whether it may be sent.
class RequestTable {
 public:
  // `seed` seeds the generator of the backoff jitter.
  RequestTable(const RequestTableSettings& settings, std::uint64_t seed);

  // Adds a request as queued. Throws DuplicateRequestError when one with the same id is open.
  void Open(const Request& request);
  // Sets the time until which this VM may act as the group's leader. After it, nothing is sent and no success is
  // acknowledged.
  void SetLeadershipValidUntil(TimePoint until);
  // Sets the group's term, for the first time before the first dispatch. A higher term resends or ends the requests
  // that were sent under the old one. A lower or equal term is ignored.
  void TermMoved(Term term, TimePoint now, Actions& actions);

  // The request was assigned a slot and is about to be sent on `connection`. Returns false if it must not be sent: it
  // is no longer queued, or an action ends it now. The slot and the connection are then free and unused. Throws
  // ConnectionInUseError when another request is running on `connection`.
  bool Dispatch(RequestId request, ConnectionId connection, TimePoint now, Actions& actions);
  // The request had a slot, but no byte of it could be sent, e.g. because no connection was available. Queues it again.
  void NotSent(RequestId request, TimePoint now, Actions& actions);
  // Ends a queued request that can't be dispatched, e.g. because the scheduler refused it.
  void RefuseQueued(RequestId request, EndReason reason, TimePoint now, Actions& actions);
  DeliveryResult Answered(const EndpointAnswer& answer, TimePoint now, Actions& actions);
  DeliveryResult RefusedByEndpoint(const EndpointRefusal& refusal, TimePoint now, Actions& actions);
  // The connection broke, or its answer was truncated. A statement that was sent on it may have run.
  void ConnectionLost(ConnectionId connection, TimePoint now, Actions& actions);
  // A replica that matched its primary's log under `synced_term` has applied it up to `offset`.
  void ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now, Actions& actions);
  // The caller's connection was closed. A queued request is withdrawn. A request that was sent keeps its slot until it
  // ends, and its result is dropped.
  void CallerGone(RequestId request, TimePoint now, Actions& actions);
  // This VM is no longer the leader. Ends every request without acknowledging any.
  void LeadershipEnded(TimePoint now, Actions& actions);
  // The grace period of a shutdown has passed. Ends every request.
  void Shutdown(TimePoint now, Actions& actions);
  // Ends the requests whose deadline has passed, and closes the connections whose progress deadline has passed.
  void Tick(TimePoint now, Actions& actions);

  // When Tick next has something to do; kNever if nothing is open.
  TimePoint NextDeadline() const;
  std::size_t OpenRequests() const;

 private:
  enum class State : std::uint8_t { kQueued, kSent, kAwaitingReplication };
  struct Entry {
    Request request;
    State state = State::kQueued;
    ConnectionId connection = 0;
    std::uint32_t attempts = 0;
    // An earlier attempt was sent and isn't known to have been refused before running.
    bool may_have_run = false;
    bool caller_gone = false;
    Term sent_term = 0;
    LogPosition position;
    bool replayed = false;
    TimePoint progress_deadline = kNever;
    // The time under which the entry is stored in `deadlines`.
    TimePoint next_deadline = kNever;
  };
  struct DeadlineEntry {
    TimePoint time;
    RequestId request = 0;

    bool operator<(const DeadlineEntry& other) const {
      return this->time != other.time ? this->time < other.time : this->request < other.request;
    }
  };
  struct AwaitedOffset {
    std::uint64_t offset = 0;
    RequestId request = 0;

    bool operator<(const AwaitedOffset& other) const {
      return this->offset != other.offset ? this->offset < other.offset : this->request < other.request;
    }
  };

  Entry* Find(RequestId request);
  // The entry of `request` if its attempt is running on the connection, otherwise null.
  Entry* FindSent(ConnectionId connection, RequestId request);
  DeliveryResult HandleMismatch(ConnectionId connection, TimePoint now, Actions& actions);
  bool LeadershipValid(TimePoint now) const;
  void SetNextDeadline(Entry& entry, TimePoint next_deadline);
  // Detaches the entry from its connection and frees its slot.
  void ReleaseConnection(Entry& entry, bool ran_to_end, Actions& actions);
  void Acknowledge(Entry& entry, TimePoint now, Actions& actions);
  void ReturnToQueue(Entry& entry, bool fresh_connection, EndReason reason, TimePoint now, Actions& actions);
  void RetryOrEnd(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void HandleLostAttempt(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void End(Entry& entry, Outcome outcome, EndReason reason, Actions& actions);
  // Ends an entry in any state. The outcome depends on what was sent.
  void Terminate(Entry& entry, EndReason reason, Actions& actions);
  void HandleDeadline(Entry& entry, TimePoint now, Actions& actions);
  std::vector<RequestId> AllIds() const;

  RequestTableSettings settings;
  std::mt19937_64 generator;
  TimePoint leadership_valid_until = TimePoint::min();
  Term term = 0;
  std::unordered_map<RequestId, Entry> entries;
  std::unordered_map<ConnectionId, RequestId> connections;
  std::set<DeadlineEntry> deadlines;
  std::set<AwaitedOffset> awaited_offsets;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_REQUEST_TABLE_H_
