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

// What a caller asks of amaranthlane, and what it is told.
namespace amaranthlane::client {

// One statement that commits by itself.
struct Statement {
  GroupName group;
  // The kind of work, such as `lodgement`; labels and selectors say what it is owed.
  std::string kind;
  outcomes::StatementMode mode = outcomes::StatementMode::kRead;
  // JSON text of an object.
  std::string statement;
  // Empty: the library draws one for a write.
  std::string idempotency_key;
  // When the caller stops waiting.
  TimePoint deadline = kNever;
};

struct StatementResult {
  Outcome outcome = Outcome::kUnknown;
  // JSON text; set when done.
  std::string result;
  bool replayed = false;
  EndpointName endpoint;
  bool from_replica = false;
  std::chrono::milliseconds age_bound{0};
  LogPosition position;
  // The type of the last problem, such as `overload`, or how the last attempt failed.
  std::string problem;
  // The key to ask again by after kUnknown.
  std::string idempotency_key;
  std::uint32_t attempts = 0;
};

// What one attempt brought.
struct AttemptResult {
  // Nothing: no answer came.
  std::optional<Outcome> outcome;
  StatementResult result;
  std::string session_token;
  // When the VM asked to come back after an overload.
  std::optional<std::chrono::seconds> retry_after;
};

// Reads a VM's answer. Throws ParseError when it is neither an answer nor a problem document.
AttemptResult ParseStatementResponse(const net::HttpResponse& response);

// The request for one attempt. `session_token` may be empty.
net::HttpRequest BuildStatementRequest(const Statement& statement, std::string_view bearer_key,
                                       std::string_view session_token, TimePoint now);

}  // namespace amaranthlane::client

#endif  // AMARANTHLANE_CLIENT_STATEMENT_H_
