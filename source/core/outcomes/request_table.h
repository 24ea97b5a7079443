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

// How the table of requests behaves.
struct RequestTableSettings {
  // The longest that a statement may go without an answer before its connection counts as silent.
  Duration progress_timeout = std::chrono::seconds(1);
};

// The open requests of one group at its leader: decides after each event whether a request is sent, sent again, or
// ended, and what its caller may be told. Every call takes O(log n) for n open requests, except TermMoved,
// LeadershipEnded and Shutdown, which walk them all.
//
// A request starts queued: whoever opens it submits it to the scheduler. When the scheduler dispatches it, Dispatch
// says whether it may be sent at all.
class RequestTable {
 public:
  // `seed` starts the generator of the backoff's jitter.
  RequestTable(const RequestTableSettings& settings, std::uint64_t seed);

  // Adds a request as queued. Throws DuplicateRequestError.
  void Open(const Request& request);
  // The moment until which this VM may act as the group's leader; later actions on it are withheld.
  void SetLeadershipValidUntil(TimePoint until);
  // The group's term, to be set before the first dispatch. A higher one than before resends or ends what was sent under
  // the old one; a lower one changes nothing.
  void TermMoved(Term term, TimePoint now, Actions& actions);

  // The request has its slot and `connection` is about to carry it. False: don't send it; if it hadn't ended before, it
  // has by an action now. Slot and connection are then free, unused. Throws ConnectionInUseError.
  bool Dispatch(RequestId request, ConnectionId connection, TimePoint now, Actions& actions);
  // The request had its slot, but no byte of it could be sent, e.g. since no connection could be had: queues it again.
  void NotSent(RequestId request, TimePoint now, Actions& actions);
  // The scheduler refused the queued request: ends it.
  void RefuseQueued(RequestId request, EndReason reason, TimePoint now, Actions& actions);
  DeliveryResult Answered(const EndpointAnswer& answer, TimePoint now, Actions& actions);
  DeliveryResult RefusedByEndpoint(const EndpointRefusal& refusal, TimePoint now, Actions& actions);
  // The connection broke, or its answer was cut short. Whatever ran on it may have run.
  void ConnectionLost(ConnectionId connection, TimePoint now, Actions& actions);
  // A replica that matched its primary's log under `synced_term` has applied it up to `offset`.
  void ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now, Actions& actions);
  // The caller's connection closed. Queued work is withdrawn; what was sent goes on unobserved and keeps its slot.
  void CallerGone(RequestId request, TimePoint now, Actions& actions);
  // This VM is no longer the leader: ends every request; nothing is acknowledged.
  void LeadershipEnded(TimePoint now, Actions& actions);
  // The bound of a graceful shutdown has passed: ends every request.
  void Shutdown(TimePoint now, Actions& actions);
  // Ends what is past its deadline, and closes connections past their progress deadline.
  void Tick(TimePoint now, Actions& actions);

  // When Tick has something to do; kNever if nothing is open.
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
    // The next deadline, as it stands in deadlines.
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
  // The entry whose attempt runs on the connection; null if it isn't that request's.
  Entry* FindSent(ConnectionId connection, RequestId request);
  DeliveryResult HandleMismatch(ConnectionId connection, TimePoint now, Actions& actions);
  bool LeadershipValid(TimePoint now) const;
  void SetNextDeadline(Entry& entry, TimePoint next_deadline);
  // Takes the entry off its connection and frees the slot.
  void ReleaseConnection(Entry& entry, bool ran_to_end, Actions& actions);
  void Acknowledge(Entry& entry, TimePoint now, Actions& actions);
  void ReturnToQueue(Entry& entry, bool fresh_connection, EndReason reason, TimePoint now, Actions& actions);
  void RetryOrEnd(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void HandleLostAttempt(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void End(Entry& entry, Outcome outcome, EndReason reason, Actions& actions);
  // Ends an entry in any state, with the outcome that follows from what was sent.
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
