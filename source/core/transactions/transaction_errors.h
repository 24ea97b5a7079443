#ifndef AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_ERRORS_H_
#define AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_ERRORS_H_

#include "common/error.h"

namespace amaranthlane::transactions {

// The caller has no open transaction with the id. The error doesn't tell whether another caller has one. HTTP status
// 404.
class TransactionNotFoundError : public Error {
 public:
  TransactionNotFoundError();
};

// Another call of the transaction is running; they run one at a time. HTTP status 409.
class TransactionBusyError : public Error {
 public:
  TransactionBusyError();
};

// This VM is draining and opens no transactions. HTTP status 503.
class TransactionsDrainingError : public Error {
 public:
  TransactionsDrainingError();
};

// The maximum number of transactions is open. HTTP status 503.
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
