#ifndef AMARANTHLANE_DAEMON_WORK_H_
#define AMARANTHLANE_DAEMON_WORK_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcomes/request.h"
#include "core/scheduling/work_item.h"
#include "core/transactions/transaction.h"
#include "core/types.h"

// The requests that an entry VM forwards to the leader of a database group, and the leader's replies.
namespace amaranthlane::daemon {

enum class WorkKind : std::uint8_t {
  // One statement outside a transaction; it commits by itself.
  kStatement,
  kBegin,
  // A statement, commit or rollback of an open transaction.
  kTransactionStatement,
  kCommit,
  kRollback,
  // Queries the outcome of the write that has the idempotency key.
  kOutcomeQuery,
};

struct WorkRequest {
  WorkKind kind = WorkKind::kStatement;
  std::string caller;
  GroupName group;
  outcomes::StatementMode mode = outcomes::StatementMode::kRead;
  // The statement as JSON text, forwarded unchanged.
  std::string statement;
  std::string idempotency_key;
  ServiceRequirements requirements;
  // The log position that a read must include.
  std::optional<LogPosition> token;
  transactions::TransactionId transaction;
  // On this VM's clock. Messages between VMs carry the remaining time, which the receiver counts from receipt.
  TimePoint deadline = kNever;
  // The data centre of the entry VM. Reads prefer endpoints there.
  std::string data_centre;
  std::string traceparent;
};

// The reason why work did not succeed: the `type` of the problem that the caller sees.
enum class WorkProblem : std::uint8_t {
  kNone,
  kNotLeader,
  kOverload,
  kDeadlinePassed,
  kConnectionLost,
  kTermMoved,
  kLeadershipLost,
  kShutdown,
  kRefusedByEndpoint,
  kKeyConflict,
  kInvalidStatement,
  kMissingKey,
  kPositionLost,
  kTransactionNotFound,
  kTransactionBusy,
  kTransactionEnded,
  kTooManyTransactions,
  kNoLeader,
  kUnknownGroup,
  kUnknownCaller,
  kInvalidRequest,
  kInvalidToken,
  // The VM has not received the configuration yet.
  kStarting,
};

std::string_view WorkProblemName(WorkProblem problem);
// Throws ParseError if `name` is not the name of a problem.
WorkProblem ParseWorkProblem(std::string_view name);

struct WorkReply {
  Outcome outcome = Outcome::kNotRun;
  WorkProblem problem = WorkProblem::kNone;
  // The endpoint's result as JSON text.
  std::string result = "null";
  bool replayed = false;
  EndpointName endpoint;
  bool from_replica = false;
  // Upper bound of the age of the data that was read.
  std::chrono::milliseconds age_bound{0};
  LogPosition position;
  transactions::TransactionId transaction;
  // How long to wait before a retry after a refusal because of overload.
  std::chrono::milliseconds retry_after{0};
  // The group's load, sent with some replies between VMs.
  std::optional<scheduling::PressureReport> pressure;
};

using WorkCallback = std::function<void(WorkReply)>;

WorkReply MakeFailedReply(WorkProblem problem, Outcome outcome = Outcome::kNotRun);

// The message body that forwards the request to a peer. It carries the time from `now` to the deadline.
std::string FormatWorkRequest(const WorkRequest& request, TimePoint now);
// Throws ParseError. The deadline is `now` plus the remaining time in the message.
WorkRequest ParseWorkRequest(std::string_view text, TimePoint now);
std::string FormatWorkReply(const WorkReply& reply);
// Throws ParseError.
WorkReply ParseWorkReply(std::string_view text);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_WORK_H_
