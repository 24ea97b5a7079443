#ifndef AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_ERRORS_H_
#define AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_ERRORS_H_

#include "common/error.h"

namespace amaranthlane::transactions {

// No open transaction of that caller has the id. Another caller's transaction isn't told apart from none. HTTP status
// 404.
class TransactionNotFoundError : public Error {
 public:
  TransactionNotFoundError();
};

// A call of the transaction still runs; one runs at a time. HTTP status 409.
class TransactionBusyError : public Error {
 public:
  TransactionBusyError();
};

// This VM is draining and opens no transactions. HTTP status 503.
class TransactionsDrainingError : public Error {
 public:
  TransactionsDrainingError();
};

// The table holds as many transactions as it may. HTTP status 503.
class TooManyTransactionsError : public Error {
 public:
  TooManyTransactionsError();
};

// The id or the connection of a new transaction is in use by another.
class TransactionInUseError : public Error {
 public:
  TransactionInUseError();
};

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_ERRORS_H_
