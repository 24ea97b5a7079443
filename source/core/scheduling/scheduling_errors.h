#ifndef AMARANTHLANE_CORE_SCHEDULING_SCHEDULING_ERRORS_H_
#define AMARANTHLANE_CORE_SCHEDULING_SCHEDULING_ERRORS_H_

#include "common/error.h"
#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

// A statement was submitted while another one with the same id is queued or running.
class DuplicateWorkError : public Error {
 public:
  explicit DuplicateWorkError(WorkId id);
  WorkId id;
};

// A statement was released that isn't running.
class UnknownWorkError : public Error {
 public:
  explicit UnknownWorkError(WorkId id);
  WorkId id;
};

// The index of an endpoint is kMaxEndpoints or higher.
class EndpointIndexError : public Error {
 public:
  explicit EndpointIndexError(EndpointIndex endpoint);
  EndpointIndex endpoint;
};

// More connections were released to a quota than were acquired.
class QuotaUnderflowError : public Error {
 public:
  QuotaUnderflowError();
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_SCHEDULING_ERRORS_H_
