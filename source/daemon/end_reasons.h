#ifndef AMARANTHLANE_DAEMON_END_REASONS_H_
#define AMARANTHLANE_DAEMON_END_REASONS_H_

#include "core/outcomes/request.h"
#include "core/transactions/transaction.h"
#include "daemon/work.h"

// Translates the reason why a request or transaction ended into the problem that the caller sees.
namespace amaranthlane::daemon {

WorkProblem ProblemOf(outcomes::EndReason reason);
WorkProblem ProblemOf(transactions::TransactionEndReason reason);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_END_REASONS_H_
