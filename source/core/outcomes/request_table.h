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
  Duration progress_limit = std::chrono::seconds(1);
};

// What became of an answer or a refusal that an endpoint delivered.
enum class DeliveryVerdict : std::uint8_t {
  kAccepted,
  // It belongs to no statement that runs on that connection. The connection is closed by an action.
  kMismatched,
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

  // Adds a request as queued. Throws DuplicateRequestError, and MissingIdempotencyKeyError for a non-idempotent write
  // without a key.
  void Open(const Request& request);
  // The moment until which this VM may act as the group's leader; later actions on it are withheld.
  void SetLeadershipValidUntil(TimePoint until);
  // The group's term. A higher one than before resends or ends what was sent under the old one.
  void TermMoved(Term term, TimePoint now, Actions& actions);

  // The scheduler gave the request a slot and `connection` is about to carry it. False: don't send it; if the request
  // had not ended before, the reason was answered by an action. The caller then frees slot and connection unused.
  bool Dispatch(RequestId request, ConnectionId connection, TimePoint now, Actions& actions);
  // The scheduler refused the request, or no connection could be had for it: it wasn't sent this time.
  void Refused(RequestId request, EndReason reason, TimePoint now, Actions& actions);
  DeliveryVerdict Answered(const EndpointAnswer& answer, TimePoint now, Actions& actions);
  DeliveryVerdict RefusedByEndpoint(const EndpointRefusal& refusal, TimePoint now, Actions& actions);
  // The connection broke, or its answer was cut short. Whatever ran on it may have run.
  void ConnectionLost(ConnectionId connection, TimePoint now, Actions& actions);
  // A replica has reached `position` under the group's term.
  void ReplicationReached(const LogPosition& position, TimePoint now, Actions& actions);
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
    // An earlier attempt was sent and isn't known to have been refused.
    bool may_have_run = false;
    bool caller_gone = false;
    Term sent_term = 0;
    LogPosition position;
    bool replayed = false;
    TimePoint progress_deadline = kNever;
    TimePoint due = kNever;
  };
  struct DueTime {
    TimePoint time;
    RequestId request = 0;
    auto operator<=>(const DueTime&) const = default;
  };
  struct AwaitedPosition {
    LogPosition position;
    RequestId request = 0;
    auto operator<=>(const AwaitedPosition&) const = default;
  };

  Entry* Find(RequestId request);
  Entry* FindSent(ConnectionId connection, RequestId request);
  void SetDue(Entry& entry, TimePoint due);
  void LeaveState(Entry& entry);
  void ReturnToQueue(Entry& entry, bool fresh_connection, TimePoint now, Actions& actions);
  void RepeatOrEnd(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void LoseAttempt(Entry& entry, EndReason reason, TimePoint now, Actions& actions);
  void End(Entry& entry, Outcome outcome, EndReason reason, Actions& actions);
  void EndUnanswered(Entry& entry, EndReason reason, Actions& actions);
  void EndAll(EndReason reason, Actions& actions);
  void PassDue(Entry& entry, TimePoint now, Actions& actions);

  RequestTableSettings settings;
  std::mt19937_64 generator;
  TimePoint leadership_valid_until = TimePoint::min();
  Term term = 0;
  std::unordered_map<RequestId, Entry> entries;
  std::unordered_map<ConnectionId, RequestId> connections;
  std::set<DueTime> due_times;
  std::set<AwaitedPosition> awaited;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_REQUEST_TABLE_H_
