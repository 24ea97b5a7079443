#ifndef AMARANTHLANE_DAEMON_ENDPOINT_PROTOCOL_H_
#define AMARANTHLANE_DAEMON_ENDPOINT_PROTOCOL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/outcomes/request.h"
#include "core/replicas/group_record.h"
#include "core/types.h"
#include "net/http_message.h"

// The messages between a group's leader and the group's endpoints.
namespace amaranthlane::daemon {

struct EndpointStatement {
  outcomes::RequestId request = 0;
  Term term = 0;
  outcomes::StatementMode mode = outcomes::StatementMode::kRead;
  // JSON text.
  std::string_view statement;
  // Empty if the statement has no key.
  std::string_view idempotency_key;
  // False if the statement belongs to the transaction that is open on its connection.
  bool autocommit = true;
};

net::HttpRequest StatementMessage(const EndpointStatement& statement);
net::HttpRequest CommitMessage(outcomes::RequestId request, Term term, std::string_view idempotency_key);
net::HttpRequest RollbackMessage(outcomes::RequestId request, Term term);
net::HttpRequest PositionMessage(std::optional<std::uint64_t> after, std::chrono::milliseconds wait);
net::HttpRequest ConfigureMessage(const replicas::GroupRecord& record);
net::HttpRequest OutcomeMessage(std::string_view idempotency_key, Term term);

// An endpoint's reply to a statement, commit or rollback.
struct EndpointReply {
  outcomes::RequestId request = 0;
  // Set if the endpoint refused the request without running it. The result and position are then empty.
  std::optional<outcomes::EndpointRefusalReason> refusal;
  // JSON text.
  std::string result;
  Term term = 0;
  LogPosition position;
  bool replayed = false;
};

// Throws ParseError if the response is neither a result nor a known refusal of a request that did not run.
EndpointReply ParseEndpointReply(const net::HttpResponse& response);

// What an endpoint recorded for an idempotency key. `result` and `position` are set only if `known` is true.
struct KeyOutcome {
  bool known = false;
  // JSON text.
  std::string result;
  LogPosition position;
};

// Throws ParseError.
KeyOutcome ParseKeyOutcome(const net::HttpResponse& response);

// The term that an endpoint reports when it refuses a configuration, 0 if it reports none. Throws ParseError.
Term ParseKnownTerm(const net::HttpResponse& response);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_ENDPOINT_PROTOCOL_H_
