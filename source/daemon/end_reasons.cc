#include "daemon/end_reasons.h"

namespace amaranthlane::daemon {

WorkProblem ProblemOf(outcomes::EndReason reason) {
  switch (reason) {
    case outcomes::EndReason::kAnswered:
      return WorkProblem::kNone;
    case outcomes::EndReason::kDeadlinePassed:
      return WorkProblem::kDeadlinePassed;
    case outcomes::EndReason::kConnectionLost:
      return WorkProblem::kConnectionLost;
    case outcomes::EndReason::kTermMoved:
      return WorkProblem::kTermMoved;
    case outcomes::EndReason::kLeadershipLost:
      return WorkProblem::kLeadershipLost;
    case outcomes::EndReason::kCallerGone:
    case outcomes::EndReason::kShutdown:
      return WorkProblem::kShutdown;
    case outcomes::EndReason::kOverload:
      return WorkProblem::kOverload;
    case outcomes::EndReason::kRefusedByEndpoint:
      return WorkProblem::kRefusedByEndpoint;
    case outcomes::EndReason::kKeyConflict:
      return WorkProblem::kKeyConflict;
    case outcomes::EndReason::kInvalidStatement:
      return WorkProblem::kInvalidStatement;
  }
  return WorkProblem::kRefusedByEndpoint;
}

WorkProblem ProblemOf(transactions::TransactionEndReason reason) {
  switch (reason) {
    case transactions::TransactionEndReason::kAnswered:
      return WorkProblem::kNone;
    case transactions::TransactionEndReason::kConnectionLost:
      return WorkProblem::kConnectionLost;
    case transactions::TransactionEndReason::kCallDeadline:
      return WorkProblem::kDeadlinePassed;
    case transactions::TransactionEndReason::kLeadershipLost:
      return WorkProblem::kLeadershipLost;
    case transactions::TransactionEndReason::kTermMoved:
      return WorkProblem::kTermMoved;
    case transactions::TransactionEndReason::kDrained:
      return WorkProblem::kShutdown;
    case transactions::TransactionEndReason::kRefusedByEndpoint:
      return WorkProblem::kRefusedByEndpoint;
    case transactions::TransactionEndReason::kOverload:
      return WorkProblem::kOverload;
    case transactions::TransactionEndReason::kCallerGone:
    case transactions::TransactionEndReason::kIdleDeadline:
    case transactions::TransactionEndReason::kTotalDeadline:
      return WorkProblem::kTransactionEnded;
  }
  return WorkProblem::kTransactionEnded;
}

}  // namespace amaranthlane::daemon
