#ifndef AMARANTHLANE_DAEMON_CALLER_REQUEST_H_
#define AMARANTHLANE_DAEMON_CALLER_REQUEST_H_

#include <chrono>
#include <optional>
#include <string>

#include "common/error.h"
#include "daemon/work.h"
#include "net/http_message.h"

namespace amaranthlane::daemon {

// A parsed request of the callers' interface. Labels and selectors are not resolved yet.
struct CallerRequest {
  WorkKind work = WorkKind::kStatement;
  GroupName group;
  // The kind of work that the caller names, such as `lodgement`; the service requirements depend on it.
  std::string kind;
  outcomes::StatementMode mode = outcomes::StatementMode::kWrite;
  // JSON text.
  std::string statement;
  std::string idempotency_key;
  transactions::TransactionId transaction;
  std::optional<std::chrono::milliseconds> time_limit;
};

// The callers' interface has no call with this method and path.
class UnknownCallError : public Error {
 public:
  UnknownCallError();
};

// Throws ParseError for a malformed request, UnknownCallError, and outcomes::InvalidIdempotencyKeyError.
CallerRequest ParseCallerRequest(const net::HttpRequest& request);

// The name of a transaction on the callers' interface. It contains the group and the kind of work, so that every VM can
// forward the transaction's calls.
std::string FormatTransactionName(const GroupName& group, const std::string& kind,
                                  const transactions::TransactionId& id);

// The body of the response to a call that was done: JSON text. `kind` is the kind of work that the caller named.
std::string FormatSuccessBody(const WorkRequest& work, const std::string& kind, const WorkReply& reply);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_CALLER_REQUEST_H_
