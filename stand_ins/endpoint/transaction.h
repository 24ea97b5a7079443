#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "stand_ins/endpoint/log.h"
#include "stand_ins/endpoint/messages.h"

namespace amaranthlane::stand_ins {

// A transaction of one connection. Its writes are kept as statements and evaluated anew at the commit, so that a
// concurrent `add` is never lost; its own reads see them over the committed rows.
class Transaction {
 public:
  explicit Transaction(std::uint64_t term);

  // Runs a statement and returns the JSON text of its result. Throws NotANumberError.
  std::string Run(const Statement& statement, const Rows& rows);
  // The entry that commits the writes on top of `rows`. Throws NotANumberError.
  LogEntry MakeLogEntry(const Rows& rows) const;
  // The text that stands for the whole transaction when its key is repeated.
  std::string CanonicalText() const;
  bool HasWrites() const;

  // The term in which it was opened.
  const std::uint64_t term;

 private:
  // The value of a row with the transaction's own writes, if it has one.
  std::optional<std::string> ReadValue(const std::string& key, const Rows& rows) const;
  std::string ListRows(const Statement& statement, const Rows& rows) const;

  std::vector<Statement> writes;
};

// The result `{"value":...}` of a read of one row.
std::string FormatValue(const std::optional<std::string>& value);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_TRANSACTION_H_
