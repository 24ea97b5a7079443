#ifndef AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_
#define AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/types.h"

// The statements of a caller's session, and what is answered to them.
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
  // The session value's or prepared statement's name; empty for other kinds.
  std::string name;
  // The session value, the prepared shape, or what follows the name of an executed statement.
  std::string argument;
  // For kPrepare: the prepared statement writes.
  bool writes = false;
};

// What a caller prepared under a name.
struct PreparedStatement {
  bool writes = false;
  std::string statement_text;

  bool operator==(const PreparedStatement&) const = default;
};

using SessionValues = std::map<std::string, std::string>;

// Where a session stands between two statements.
enum class TransactionStatus : std::uint8_t { kIdle, kInTransaction, kFailedTransaction };

// Why a statement has no result.
enum class FailureCode : std::uint8_t {
  // It did not run. The caller may come back.
  kNotRun,
  // Its transaction was rolled back; nothing of it is kept.
  kAborted,
  // The replica lacks the position asked for; it did not run.
  kLagging,
  // The endpoint isn't the primary; it did not run.
  kReadOnly,
  // The connection reached another endpoint than it was meant for.
  kWrongEndpoint,
  // The endpoint takes no further connections.
  kConnectionLimit,
  // It ran and failed.
  kFailed,
  // It may have run; the time limit passed.
  kTimedOut,
  // It may have run; its answer was lost.
  kOutcomeUnknown,
  // The endpoint doesn't know the prepared statement; it did not run.
  kUnknownStatement,
  kUnknownDatabase,
  kMalformed,
  kTooLarge,
  kDenied,
};

std::string_view FailureCodeName(FailureCode code);

// True when the code alone promises that the statement did not run.
bool DidNotRun(FailureCode code);

}  // namespace amaranthlane::statements

#endif  // AMARANTHLANE_CORE_STATEMENTS_STATEMENT_H_
