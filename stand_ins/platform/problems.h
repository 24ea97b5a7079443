#ifndef AMARANTHLANE_STAND_INS_PLATFORM_PROBLEMS_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_PROBLEMS_H_

#include <cstdint>
#include <string>

#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

// The object doesn't exist. `version` is the version of its tombstone, 0 when it never existed.
class NotFoundError : public ProblemError {
 public:
  NotFoundError(const std::string& object, std::uint64_t version);
};

// The expected version differs from the object's version. `current` is the object as JSON, null when it never existed.
class ConflictError : public ProblemError {
 public:
  ConflictError(const std::string& object, nlohmann::json current);
};

// The value exceeds the platform's limit of one megabyte.
class ValueTooLargeError : public ProblemError {
 public:
  explicit ValueTooLargeError(const std::string& object);
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_PROBLEMS_H_
