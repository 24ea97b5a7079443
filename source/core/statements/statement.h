#ifndef AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_
#define AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/types.h"

// The statements of a caller's session, and the reasons why they fail.
namespace amaranthlane::statements {

enum class StatementKind : std::uint8_t {
  kBegin,
  kBeginReadOnly,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetValue,
  kPrepare,
  kExecute,
  kDeallocate,
};

struct Statement {
  StatementKind kind = StatementKind::kRead;
  // The caller's id of this statement; it goes to the endpoint unchanged.
  std::string id;
  // The statement as the caller wrote it.
  std::string text;
  // Name of the session value or prepared statement; empty for other kinds.
  std::string name;
  // kSetValue: the value. kPrepare: the text to prepare. kExecute: what follows the name of the prepared statement.
  std::string argument;
  // kPrepare: whether the prepared statement writes.
  bool writes = false;
};

// A statement that a caller prepared under a name.
struct PreparedStatement {
  bool writes = false;
  std::string statement_text;

  bool operator==(const PreparedStatement&) const = default;
};

using SessionValues = std::map<std::string, std::string>;

// Whether a session has an open transaction after a statement, and whether that transaction has failed.
enum class TransactionStatus : std::uint8_t { kIdle, kInTransaction, kFailedTransaction };

// Why a statement has no result.
enum class FailureCode : std::uint8_t {
  // Not run; the caller may try again.
  kNotRun,
  // Its transaction was rolled back; none of its effects are kept.
  kAborted,
  // Not run: the replica hasn't reached the required log position.
  kLagging,
  // Not run: the endpoint isn't the primary.
  kReadOnly,
  // Not run: the connection leads to a different endpoint than intended.
  kWrongEndpoint,
  // Not run: the endpoint accepts no more connections.
  kConnectionLimit,
  // Run, and failed.
  kFailed,
  // May have run: its timeout expired.
  kTimedOut,
  // May have run: its answer was lost.
  kOutcomeUnknown,
  // Not run: the endpoint doesn't know the prepared statement.
  kUnknownStatement,
  kUnknownDatabase,
  kMalformed,
  kTooLarge,
  kDenied,
};

std::string_view FailureCodeName(FailureCode code);

// Whether the code alone guarantees that the statement did not run.
bool DidNotRun(FailureCode code);

}  // namespace amaranthlane::statements

#endif  // AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_
