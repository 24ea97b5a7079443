#ifndef AMARANTHLANE_DAEMON_PROBLEM_H_
#define AMARANTHLANE_DAEMON_PROBLEM_H_

#include <string>
#include <string_view>

#include "daemon/work.h"
#include "net/http_message.h"

// Responses of the HTTP interfaces.
namespace amaranthlane::daemon {

// A successful response with a JSON text as its body.
net::HttpResponse JsonResponse(std::string body);

// A problem document (RFC 9457). `type` is the last part of its URN.
net::HttpResponse ProblemResponse(unsigned status, std::string_view type, const std::string& detail);

// The problem document for work that failed or whose outcome is unknown. `idempotency_key` may be empty; it is included
// only if the outcome is unknown.
net::HttpResponse WorkProblemResponse(const WorkReply& reply, const std::string& idempotency_key);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_PROBLEM_H_
