#ifndef AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_
#define AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_

#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"

namespace amaranthlane::stand_ins {

// An error response in the format of RFC 9457 (problem details).
struct Problem {
  unsigned status = 500;
  // The last part of the URN, such as `stale-term`.
  std::string type;
  std::string title;
  std::string detail;
  // Whether the requested work was run, such as `not_run`; empty for requests without such an outcome.
  std::string outcome;
  // Additional members of the response.
  nlohmann::json members = nlohmann::json::object();
};

// Base class of errors that are sent as a problem response.
class ProblemError : public Error {
 public:
  explicit ProblemError(Problem problem);

  Problem problem;
};

// A malformed request.
class BadRequestError : public ProblemError {
 public:
  explicit BadRequestError(const std::string& detail);
};

// The server has no handler for the method and path.
class UnknownCallError : public ProblemError {
 public:
  explicit UnknownCallError(const std::string& call);
};

// Formats `problem` as a JSON response body.
std::string FormatProblem(const Problem& problem);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_
