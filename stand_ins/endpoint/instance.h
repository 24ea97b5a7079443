#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "stand_ins/endpoint/log.h"
#include "stand_ins/endpoint/messages.h"
#include "stand_ins/endpoint/transaction.h"

namespace amaranthlane::stand_ins {

// The result of a statement or commit.
struct Completion {
  // JSON text.
  std::string result;
  Position position;
  bool replayed = false;
};

// The outcome stored under an idempotency key.
struct KeyOutcome {
  bool known = false;
  std::string result;
  Position position;
};

// The state of a database instance, without networking: its current term, its role in the term, its log and rows.
class Instance {
 public:
  explicit Instance(std::string name);

  // Takes the role that the request assigns. Returns false when nothing changed. Throws StaleTermError,
  // TermConflictError, or ParseError when the request doesn't list the primary.
  bool Configure(const ConfigureRequest& request);
  // Throws StaleTermError or UnconfiguredTermError.
  void CheckTerm(std::uint64_t term) const;
  // Throws NotPrimaryError.
  void CheckPrimary() const;
  // Runs an autocommit statement. Throws a ProblemError if the statement is rejected; it then has had no effect.
  Completion RunAutocommit(const StatementRequest& request);
  // Runs a statement in `transaction`, which is opened if there is none. Throws as RunAutocommit.
  Completion RunInTransaction(const StatementRequest& request, std::optional<Transaction>& transaction);
  // Commits the transaction. A rejected commit ends it too, unless the request's term is rejected. Throws as
  // RunAutocommit, or NoTransactionError.
  Completion Commit(const TransactionEndRequest& request, std::optional<Transaction>& transaction);
  // Throws NotPrimaryError, or as CheckTerm.
  KeyOutcome FindOutcome(const std::string& idempotency_key, std::uint64_t term) const;
  // Removes the entries of a replica after `offset`.
  void TruncateLog(std::uint64_t offset);
  // Appends an entry that was pulled from the primary.
  void ApplyReplicatedEntry(LogEntry entry);
  // Records that the replica's log matches the primary's log in the current term.
  void MarkSynced();

  bool IsPrimary() const;
  const Log& GetLog() const;
  // The address of the primary; empty until the instance is configured.
  const std::string& PrimaryAddress() const;
  std::uint64_t Term() const;
  // The response body of /v1/position.
  std::string FormatPositionResponse() const;

 private:
  // The completion stored under the idempotency key, if any. Throws KeyConflictError.
  std::optional<Completion> FindStoredCompletion(const std::string& idempotency_key,
                                                 const std::string& statement) const;
  Completion Append(const Transaction& transaction, const std::string& idempotency_key, std::string statement,
                    std::string result);

  std::string name;
  std::uint64_t term = 0;
  std::uint64_t synced_term = 0;
  std::string primary;
  std::string primary_address;
  Log log;
};

// Formats a position as JSON.
std::string FormatPosition(Position position);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_
