#include "stand_ins/platform/problems.h"

#include <utility>

namespace amaranthlane::stand_ins {

NotFoundError::NotFoundError(const std::string& object, std::uint64_t version)
    : ProblemError({404, "not-found", "The object does not exist", object, "", {{"version", version}}}) {}

ConflictError::ConflictError(const std::string& object, nlohmann::json current)
    : ProblemError(
          {409, "conflict", "The object has another version", object, "not_run", {{"current", std::move(current)}}}) {}

ValueTooLargeError::ValueTooLargeError(const std::string& object)
    : ProblemError({413, "value-too-large", "The value exceeds one megabyte", object, "not_run"}) {}

}  // namespace amaranthlane::stand_ins
