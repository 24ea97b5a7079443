#ifndef AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_
#define AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_

#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"

namespace amaranthlane::stand_ins {

// An error answer in the shape of RFC 9457.
struct Problem {
  unsigned status = 500;
  // The last part of the URN, such as `stale-term`.
  std::string type;
  std::string title;
  std::string detail;
  // Empty where no work was asked for.
  std::string outcome;
  // Further members of the answer.
  nlohmann::json members = nlohmann::json::object();
};

// The root of failures that are answered with a problem.
class ProblemError : public Error {
 public:
  explicit ProblemError(Problem problem);

  Problem problem;
};

// A request that can't be understood.
class BadRequestError : public ProblemError {
 public:
  explicit BadRequestError(const std::string& detail);
};

// A path and method that the server doesn't serve.
class UnknownCallError : public ProblemError {
 public:
  explicit UnknownCallError(const std::string& call);
};

// The JSON text of `problem`.
std::string FormatProblem(const Problem& problem);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_PROBLEM_H_
