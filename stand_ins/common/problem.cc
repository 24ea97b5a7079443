#include "stand_ins/common/problem.h"

#include <utility>

namespace amaranthlane::stand_ins {

ProblemError::ProblemError(Problem problem)
    : Error(problem.type + ": " + problem.detail), problem(std::move(problem)) {}

BadRequestError::BadRequestError(const std::string& detail)
    : ProblemError({400, "bad-request", "The request can't be understood", detail, "not_run"}) {}

UnknownCallError::UnknownCallError(const std::string& call)
    : ProblemError({404, "unknown-call", "No such call", call, "not_run"}) {}

std::string FormatProblem(const Problem& problem) {
  nlohmann::json body = problem.members;
  body["type"] = "urn:amaranthlane:" + problem.type;
  body["title"] = problem.title;
  body["status"] = problem.status;
  body["detail"] = problem.detail;
  if (!problem.outcome.empty()) {
    body["outcome"] = problem.outcome;
  }
  // Details can quote client input, which may be invalid UTF-8.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace amaranthlane::stand_ins
