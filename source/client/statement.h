#ifndef AMARANTHLANE_CLIENT_STATEMENT_H_
#define AMARANTHLANE_CLIENT_STATEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcomes/request.h"
#include "core/types.h"
#include "net/http_message.h"

// Statements that callers send to amaranthlane over HTTP, and their results.
namespace amaranthlane::client {

// A single statement, executed as its own transaction.
struct Statement {
  GroupName group;
  // The kind of work, such as `lodgement`. Labels and selectors map it to its service requirements.
  std::string kind;
  outcomes::StatementMode mode = outcomes::StatementMode::kRead;
  // A JSON object as text.
  std::string statement;
  // If empty, Caller generates a key for a write.
  std::string idempotency_key;
  // When the caller stops waiting.
  TimePoint deadline = kNever;
};

struct StatementResult {
  Outcome outcome = Outcome::kUnknown;
  // JSON text; set only if the outcome is kDone.
  std::string result;
  bool replayed = false;
  EndpointName endpoint;
  bool from_replica = false;
  std::chrono::milliseconds age_bound{0};
  LogPosition position;
  // Why the last attempt failed: the type of a problem document, such as `overload`, or a failure of the connection,
  // such as `no-answer`, or `invalid-statement` if the statement isn't well-formed. Empty if the outcome is kDone.
  std::string problem;
  // The key of a write. After kUnknown, a retry with this key can't run the write a second time.
  std::string idempotency_key;
  std::uint32_t attempts = 0;
};

// The result of one attempt.
struct AttemptResult {
  // Empty if the attempt did not yield an outcome; the statement may have run then.
  std::optional<Outcome> outcome;
  StatementResult result;
  std::string session_token;
  // The Retry-After header, which a VM sends with an `overload` problem.
  std::optional<std::chrono::seconds> retry_after;
};

// Parses a VM's response to a statement. Throws ParseError when the body is neither a result nor a problem document.
AttemptResult ParseStatementResponse(const net::HttpResponse& response);

// True if the statement's text is a JSON object and its kind is UTF-8, so that neither changes the rest of a request.
bool IsWellFormed(const Statement& statement);

// Builds the HTTP request for one attempt at a well-formed statement. `bearer_key` and `session_token` may be empty.
net::HttpRequest BuildStatementRequest(const Statement& statement, std::string_view bearer_key,
                                       std::string_view session_token, TimePoint now);

}  // namespace amaranthlane::client

#endif  // AMARANTHLANE_CLIENT_STATEMENT_H_
