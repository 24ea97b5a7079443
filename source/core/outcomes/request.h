#ifndef AMARANTHLANE_CORE_OUTCOMES_REQUEST_H_
#define AMARANTHLANE_CORE_OUTCOMES_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "core/types.h"

// The messages that go into and come out of the table of requests.
namespace amaranthlane::outcomes {

// Names one request at one VM; never used twice by it.
using RequestId = std::uint64_t;
// Names one connection to an endpoint; never used twice by one VM.
using ConnectionId = std::uint64_t;

enum class StatementMode : std::uint8_t { kRead, kWrite };
std::string_view StatementModeName(StatementMode mode);
// Throws ParseError when `name` is no mode.
StatementMode ParseStatementMode(std::string_view name);

// A request that commits by itself. Statements of open transactions belong to the table of transactions.
struct Request {
  RequestId id = 0;
  std::string caller;
  // Empty: none was given.
  std::string idempotency_key;
  Obligation obligation;
  StatementMode mode = StatementMode::kRead;
  TimePoint deadline;
};

// How an endpoint answered a statement that it ran.
struct EndpointAnswer {
  ConnectionId connection = 0;
  RequestId request = 0;
  Term term = 0;
  // A read: the endpoint's position then. A write: the place of the commit.
  LogPosition position;
  // True: the effects are those of an earlier attempt with the same key.
  bool replayed = false;
};

// Why an endpoint refused a statement before running it.
enum class EndpointRefusalReason : std::uint8_t {
  kStaleTerm,
  kUnconfiguredTerm,
  kNotPrimary,
  // Too many connections or the like: the endpoint takes no statement now.
  kBusy,
  // The idempotency key was used with another statement; the same refusal would follow for good.
  kKeyConflict,
  // The endpoint finds the statement itself at fault; the same refusal would follow for good.
  kInvalidStatement,
};

// An endpoint's refusal of a statement that it provably didn't run.
struct EndpointRefusal {
  ConnectionId connection = 0;
  RequestId request = 0;
  EndpointRefusalReason reason = EndpointRefusalReason::kStaleTerm;
};

// What became of an answer or a refusal that an endpoint delivered.
enum class DeliveryResult : std::uint8_t {
  kAccepted,
  // It belongs to no statement that runs on that connection. The connection is closed by an action.
  kMismatched,
};

// Why a request ended as it did.
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

// Submit the request to the scheduler, not before the given time.
struct Requeue {
  RequestId request = 0;
  TimePoint not_before;
  // True: an earlier attempt may have run; the key decides. Must go to the primary.
  bool must_use_primary = false;
  // True: must not use a connection that was open before now.
  bool fresh_connection = false;
};

// Take the request out of the scheduler's queue.
struct WithdrawQueued {
  RequestId request = 0;
};

// Close the connection; nothing it may still deliver counts.
struct CloseConnection {
  ConnectionId connection = 0;
};

// The statement that ran on the connection has ended for this VM: free its slot, and reuse the connection unless
// CloseConnection came before.
struct ReleaseAttempt {
  RequestId request = 0;
  ConnectionId connection = 0;
  bool ran_to_end = false;
};

// Watch the replicas until one has reached the position, then report it by ReplicationReached; at once if one has
// already.
struct AwaitReplication {
  RequestId request = 0;
  LogPosition position;
};

// Tell the caller the end of its request. The daemon keeps the endpoint's result by request until then.
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
