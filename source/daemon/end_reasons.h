#ifndef AMARANTHLANE_DAEMON_END_REASONS_H_
#define AMARANTHLANE_DAEMON_END_REASONS_H_

#include "core/outcomes/request.h"
#include "core/transactions/transaction.h"
#include "daemon/work.h"

// What a caller is told of why its work ended.
namespace amaranthlane::daemon {

WorkProblem ProblemOf(outcomes::EndReason reason);
WorkProblem ProblemOf(transactions::TransactionEndReason reason);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_END_REASONS_H_
