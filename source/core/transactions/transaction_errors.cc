#include "core/transactions/transaction_errors.h"

namespace amaranthlane::transactions {

TransactionNotFoundError::TransactionNotFoundError() : Error("no such transaction is open") {}

TransactionBusyError::TransactionBusyError() : Error("another call of the transaction is running") {}

TransactionsDrainingError::TransactionsDrainingError() : Error("this VM is draining and opens no transactions") {}

TooManyTransactionsError::TooManyTransactionsError() : Error("too many transactions are open") {}

TransactionInUseError::TransactionInUseError() : Error("the id or the connection belongs to an open transaction") {}

}  // namespace amaranthlane::transactions
