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

// What an entry VM passes to the leader of a database group, and what comes back.
namespace amaranthlane::daemon {

enum class WorkKind : std::uint8_t {
  // One statement that commits by itself.
  kStatement,
  kBegin,
  // A statement, commit or rollback of an open transaction.
  kTransactionStatement,
  kCommit,
  kRollback,
  // Asks what became of an idempotency key.
  kOutcomeQuery,
};

struct WorkRequest {
  WorkKind kind = WorkKind::kStatement;
  std::string caller;
  GroupName group;
  outcomes::StatementMode mode = outcomes::StatementMode::kRead;
  // The statement as JSON text, passed on as it came.
  std::string statement;
  std::string idempotency_key;
  ServiceRequirements requirements;
  // The position that a read must cover.
  std::optional<LogPosition> token;
  transactions::TransactionId transaction;
  // On this VM's clock. Between VMs the time that is left travels, and the receiver counts it from receipt.
  TimePoint deadline = kNever;
  // The data centre of the entry VM, preferred for reads.
  std::string data_centre;
  std::string traceparent;
};

// Why work ended as it did; the `type` of the problem that the caller sees.
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
  // The VM doesn't hold the configuration yet.
  kStarting,
};

std::string_view WorkProblemName(WorkProblem problem);
// Throws ParseError when `name` is no problem.
WorkProblem ParseWorkProblem(std::string_view name);

struct WorkAnswer {
  Outcome outcome = Outcome::kNotRun;
  WorkProblem problem = WorkProblem::kNone;
  // The endpoint's result as JSON text.
  std::string result = "null";
  bool replayed = false;
  EndpointName endpoint;
  bool from_replica = false;
  // The greatest age of what was read.
  std::chrono::milliseconds age_bound{0};
  LogPosition position;
  transactions::TransactionId transaction;
  // When to try again after a refusal from overload, counted from now.
  std::chrono::milliseconds retry_after{0};
  // The load of the group, present in some answers between VMs.
  std::optional<scheduling::PressureReport> pressure;
};

using WorkCallback = std::function<void(WorkAnswer)>;

WorkAnswer MakeRefusal(WorkProblem problem, Outcome outcome = Outcome::kNotRun);

// The text of a peer's work message. `now` turns the deadline into the time that is left.
std::string WorkRequestText(const WorkRequest& request, TimePoint now);
// Throws ParseError. `now` turns the time that is left into a deadline.
WorkRequest ParseWorkRequest(std::string_view text, TimePoint now);
std::string WorkAnswerText(const WorkAnswer& reply);
// Throws ParseError.
WorkAnswer ParseWorkAnswer(std::string_view text);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_WORK_H_
