#ifndef AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_
#define AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_

#include <set>
#include <string>
#include <vector>

#include "core/statements/statement.h"

// Values and prepared statements belong to the caller's session and outlive any connection to an endpoint. What a
// connection holds is known, so that it can be brought to what a session needs.
namespace amaranthlane::statements {

// What a connection to an endpoint holds.
struct ConnectionSessionState {
  SessionValues values;
  // Names of this proxy's own; see EndpointStatementName().
  std::set<std::string> prepared;
};

// The name that a prepared statement has at endpoints. It is derived from what is prepared, so sessions that prepare
// the same share it, and names of two callers never collide.
std::string EndpointStatementName(const PreparedStatement& prepared);

// One command that changes what a connection holds.
struct RestoreStep {
  enum class Kind : std::uint8_t { kReset, kSetValue, kPrepare };
  Kind kind = Kind::kReset;
  std::string name;
  std::string value;
  PreparedStatement prepared;
};

// The steps that give a connection exactly these values and, if there is one, the prepared statement. A value that is
// there and mustn't be can only be removed with all others.
std::vector<RestoreStep> PlanRestore(const ConnectionSessionState& session_state, const SessionValues& values,
                                     const PreparedStatement* prepared);

// What the connection holds after the step succeeded.
void ApplyRestoreStep(const RestoreStep& step, ConnectionSessionState& session_state);

}  // namespace amaranthlane::statements

#endif  // AMARANTHLANE_CORE_STATEMENTS_SESSION_RESTORE_H_
