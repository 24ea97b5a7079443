#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/endpoint/log.h"
#include "stand_ins/endpoint/messages.h"

namespace amaranthlane::stand_ins {

// A transaction of one connection. Its writes are kept as statements and re-evaluated at commit, so that no concurrent
// `add` is lost. Its reads see its own writes on top of the committed rows.
class Transaction {
 public:
  explicit Transaction(std::uint64_t term);

  // Runs a statement and returns the JSON text of its result. Throws NotANumberError.
  std::string Run(const Statement& statement, const Rows& rows);
  // Creates the log entry that applies the writes to `rows`. Throws NotANumberError.
  LogEntry MakeLogEntry(const Rows& rows) const;
  // The canonical text of all writes, compared when the idempotency key of the commit is repeated.
  std::string CanonicalText() const;
  bool HasWrites() const;

  // The term in which the transaction was opened.
  const std::uint64_t term;

 private:
  // The value of a row, including the transaction's own writes; nullopt when the row doesn't exist.
  std::optional<std::string> ReadValue(const std::string& key, const Rows& rows) const;
  std::string ListRows(const Statement& statement, const Rows& rows) const;

  std::vector<Statement> writes;
};

// Formats the result of a statement on one row as `{"value":...}`.
std::string FormatValue(const std::optional<std::string>& value);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_
