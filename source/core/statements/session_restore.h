#ifndef AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_
#define AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_

#include <set>
#include <string>
#include <vector>

#include "core/statements/statement.h"

// Session values and prepared statements belong to the caller's session and outlive any connection to an endpoint. The
// proxy tracks which of them each connection holds, so that it can restore a session's state on any connection.
namespace amaranthlane::statements {

// The session state that a connection to an endpoint holds.
struct ConnectionSessionState {
  SessionValues values;
  // Names of the prepared statements at the endpoint; see EndpointStatementName().
  std::set<std::string> prepared;
};

// The name of a prepared statement at the endpoints. It is derived from the statement itself, so sessions that prepare
// the same statement share it, and statements to which two callers gave the same name never collide. It has 255 bytes
// at most: that of a long statement holds a hash of it.
std::string EndpointStatementName(const PreparedStatement& prepared);

// One command that changes the session state of a connection.
struct RestoreStep {
  enum class Kind : std::uint8_t { kReset, kSetValue, kPrepare };
  Kind kind = Kind::kReset;
  std::string name;
  std::string value;
  PreparedStatement prepared;
};

// The steps after which a connection holds exactly `values` and, unless `prepared` is null, that prepared statement. A
// value that the session doesn't have can only be removed by a reset, which removes all other values and prepared
// statements too.
std::vector<RestoreStep> PlanRestore(const ConnectionSessionState& session_state, const SessionValues& values,
                                     const PreparedStatement* prepared);

// Updates `session_state` for a step that has succeeded.
void ApplyRestoreStep(const RestoreStep& step, ConnectionSessionState& session_state);

}  // namespace amaranthlane::statements

#endif  // AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_
