#include "core/outcomes/outcome_errors.h"

#include <string>

namespace amaranthlane::outcomes {

MissingIdempotencyKeyError::MissingIdempotencyKeyError() : Error("a non-idempotent write needs an idempotency key") {}

InvalidIdempotencyKeyError::InvalidIdempotencyKeyError()
    : Error("the idempotency key is too long or contains a character that isn't visible ASCII") {}

DuplicateRequestError::DuplicateRequestError(RequestId request)
    : Error("request " + std::to_string(request) + " is already open"), request(request) {}

ConnectionInUseError::ConnectionInUseError(ConnectionId connection)
    : Error("connection " + std::to_string(connection) + " is in use by another request"), connection(connection) {}

}  // namespace amaranthlane::outcomes
