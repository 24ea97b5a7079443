#include "core/scheduling/scheduling_errors.h"

#include <string>

namespace amaranthlane::scheduling {

DuplicateWorkError::DuplicateWorkError(WorkId id)
    : Error("work " + std::to_string(id) + " is queued or runs"), id(id) {}

UnknownWorkError::UnknownWorkError(WorkId id) : Error("work " + std::to_string(id) + " doesn't run"), id(id) {}

EndpointIndexError::EndpointIndexError(EndpointIndex endpoint)
    : Error("endpoint index " + std::to_string(endpoint) + " is out of range"), endpoint(endpoint) {}

QuotaUnderflowError::QuotaUnderflowError() : Error("a connection was given back that wasn't taken") {}

}  // namespace amaranthlane::scheduling
