#include "core/scheduling/scheduling_errors.h"

#include <string>

namespace amaranthlane::scheduling {

DuplicateWorkError::DuplicateWorkError(WorkId id)
    : Error("work " + std::to_string(id) + " is already queued or running"), id(id) {}

UnknownWorkError::UnknownWorkError(WorkId id) : Error("work " + std::to_string(id) + " isn't running"), id(id) {}

EndpointIndexError::EndpointIndexError(EndpointIndex endpoint)
    : Error("endpoint index " + std::to_string(endpoint) + " is out of range"), endpoint(endpoint) {}

QuotaUnderflowError::QuotaUnderflowError() : Error("a connection that wasn't acquired was released to the quota") {}

}  // namespace amaranthlane::scheduling
