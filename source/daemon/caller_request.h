#ifndef AMARANTHLANE_DAEMON_CALLER_REQUEST_H_
#define AMARANTHLANE_DAEMON_CALLER_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>

#include "common/error.h"
#include "daemon/work.h"
#include "net/http_message.h"

namespace amaranthlane::daemon {

// A request on the callers' interface, before labels and selectors are looked up.
struct CallerRequest {
  WorkKind work = WorkKind::kStatement;
  GroupName group;
  // The kind of work that the caller names, such as `lodgement`.
  std::string kind;
  outcomes::StatementMode mode = outcomes::StatementMode::kWrite;
  // JSON text.
  std::string statement;
  std::string idempotency_key;
  transactions::TransactionId transaction;
  std::optional<std::chrono::milliseconds> time_limit;
};

// No call of the callers' interface has this method and path.
class UnknownCallError : public Error {
 public:
  UnknownCallError();
};

// Throws ParseError for a malformed body and UnknownCallError.
CallerRequest ParseCallerRequest(const net::HttpRequest& request);

// The name of a transaction on the callers' interface: it tells the group and the kind of work to every VM.
std::string FormatTransactionName(const GroupName& group, const std::string& kind,
                                  const transactions::TransactionId& id);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_CALLER_REQUEST_H_
