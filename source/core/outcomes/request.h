#ifndef AMARANTHLANE_CORE_OUTCOMES_REQUEST_H_
#define AMARANTHLANE_CORE_OUTCOMES_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "core/types.h"

// The inputs and outputs of the request table.
namespace amaranthlane::outcomes {

// Identifies a request at one VM, which never uses an id twice.
using RequestId = std::uint64_t;
// Identifies a connection to an endpoint at one VM, which never uses an id twice.
using ConnectionId = std::uint64_t;

enum class StatementMode : std::uint8_t { kRead, kWrite };
std::string_view StatementModeName(StatementMode mode);
// Throws ParseError when `name` isn't the name of a mode.
StatementMode ParseStatementMode(std::string_view name);

// An autocommit request. Statements of open transactions belong to the transaction table.
struct Request {
  RequestId id = 0;
  std::string caller;
  // Empty: none was given.
  std::string idempotency_key;
  ServiceRequirements requirements;
  StatementMode mode = StatementMode::kRead;
  TimePoint deadline;
};

// An endpoint's answer to a statement that it ran.
struct EndpointAnswer {
  ConnectionId connection = 0;
  RequestId request = 0;
  Term term = 0;
  // Read: the endpoint's log position at that time. Write: the log position of the commit.
  LogPosition position;
  // True: the effects are those of an earlier attempt with the same key.
  bool replayed = false;
};

// Why an endpoint refused a statement before running it.
enum class EndpointRefusalReason : std::uint8_t {
  kStaleTerm,
  kUnconfiguredTerm,
  kNotPrimary,
  // The endpoint accepts no statement now, e.g. because it has too many connections.
  kBusy,
  // The idempotency key was used with a different statement. A retry would be refused too.
  kKeyConflict,
  // The statement itself is invalid. A retry would be refused too.
  kInvalidStatement,
};

// An endpoint's refusal of a statement that it provably didn't run.
struct EndpointRefusal {
  ConnectionId connection = 0;
  RequestId request = 0;
  EndpointRefusalReason reason = EndpointRefusalReason::kStaleTerm;
};

// Whether an answer or a refusal from an endpoint was accepted.
enum class DeliveryResult : std::uint8_t {
  kAccepted,
  // It belongs to no statement that is running on that connection. An action closes the connection.
  kMismatched,
};

// Why a request ended.
enum class EndReason : std::uint8_t {
  kAnswered,
  kDeadlinePassed,
  kConnectionLost,
  kTermMoved,
  kLeadershipLost,
  kCallerGone,
  kShutdown,
  // The scheduler refused it.
  kOverload,
  kRefusedByEndpoint,
  kKeyConflict,
  kInvalidStatement,
};
std::string_view EndReasonName(EndReason reason);

// Submit the request to the scheduler again, no earlier than `not_before`.
struct Requeue {
  RequestId request = 0;
  TimePoint not_before;
  // True: an earlier attempt of this write may have run. The request must go to the primary, where its idempotency key,
  // if it has one, decides whether it runs.
  bool must_use_primary = false;
  // True: the request must not use a connection that is open already.
  bool fresh_connection = false;
};

// Remove the request from the scheduler's queue.
struct WithdrawQueued {
  RequestId request = 0;
};

// Close the connection. Anything that it still delivers is ignored.
struct CloseConnection {
  ConnectionId connection = 0;
};

// This VM no longer waits for the statement on the connection: free its slot, and reuse the connection unless it was
// lost or a CloseConnection preceded.
struct ReleaseAttempt {
  RequestId request = 0;
  ConnectionId connection = 0;
  bool ran_to_end = false;
};

// Watch the replicas and call ReplicationReached when one has reached the position, or immediately if one already has.
struct AwaitReplication {
  RequestId request = 0;
  LogPosition position;
};

// Answer the caller. The daemon keeps the endpoint's result of the request until then.
struct AnswerCaller {
  RequestId request = 0;
  Outcome outcome = Outcome::kUnknown;
  EndReason reason = EndReason::kAnswered;
  // Set for kDone.
  LogPosition position;
  bool replayed = false;
};

using Action = std::variant<Requeue, WithdrawQueued, CloseConnection, ReleaseAttempt, AwaitReplication, AnswerCaller>;
using Actions = std::vector<Action>;

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_REQUEST_H_
