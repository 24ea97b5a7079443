#ifndef AMARANTHLANE_DAEMON_PROBLEM_H_
#define AMARANTHLANE_DAEMON_PROBLEM_H_

#include <string>
#include <string_view>

#include "daemon/work.h"
#include "net/http_message.h"

// Answers of the HTTP interfaces.
namespace amaranthlane::daemon {

// The body of a successful answer.
net::HttpResponse JsonResponse(std::string body);

// A problem document (RFC 9457). `type` is the last part of its URN.
net::HttpResponse ProblemResponse(unsigned status, std::string_view type, const std::string& detail);

// The problem document for work that wasn't done. `idempotency_key` may be empty.
net::HttpResponse WorkProblemResponse(const WorkReply& answer, const std::string& idempotency_key);

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_PROBLEM_H_
