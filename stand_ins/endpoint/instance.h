#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "stand_ins/endpoint/log.h"
#include "stand_ins/endpoint/messages.h"
#include "stand_ins/endpoint/transaction.h"

namespace amaranthlane::stand_ins {

// What a statement or commit yielded.
struct Completion {
  // JSON text.
  std::string result;
  Position position;
  bool replayed = false;
};

// What is stored under an idempotency key.
struct KeyOutcome {
  bool known = false;
  std::string result;
  Position position;
};

// A database instance without its network: the term it serves, its role in it, its log and rows.
class Instance {
 public:
  explicit Instance(std::string name);

  // Takes the role that the request gives it. Returns false when nothing changed. Throws StaleTermError,
  // TermConflictError, or ParseError when the request doesn't list the primary.
  bool Configure(const ConfigureRequest& request);
  // Throws StaleTermError or UnconfiguredTermError.
  void CheckTerm(std::uint64_t term) const;
  // Throws NotPrimaryError.
  void CheckPrimary() const;
  // Runs a statement that commits by itself. Throws what refuses it; it then has not run.
  Completion RunAutocommit(const StatementRequest& request);
  // Runs a statement in a transaction, which is opened if there is none. Throws as above.
  Completion RunInTransaction(const StatementRequest& request, std::optional<Transaction>& transaction);
  // Commits; the transaction is over afterwards whatever comes of it. Throws as above or NoTransactionError.
  Completion Commit(const TransactionEndRequest& request, std::optional<Transaction>& transaction);
  // Throws NotPrimaryError and as CheckTerm.
  KeyOutcome FindOutcome(const std::string& idempotency_key, std::uint64_t term) const;
  // Has a replica drop its entries after `offset`.
  void TruncateLog(std::uint64_t offset);
  // Adds an entry that a replica pulled.
  void ApplyReplicatedEntry(LogEntry entry);
  // Marks that a replica's log agrees with the primary's.
  void MarkSynced();

  bool IsPrimary() const;
  const Log& GetLog() const;
  // The address of the primary, empty while unconfigured.
  const std::string& PrimaryAddress() const;
  std::uint64_t Term() const;
  // The body that answers /v1/position.
  std::string FormatPositionResponse() const;

 private:
  // The completion stored under the request's key, if it is. Throws KeyConflictError.
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

// The JSON text of a position.
std::string FormatPosition(Position position);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_INSTANCE_H_
