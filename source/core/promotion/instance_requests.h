#ifndef AMARANTHLANE_CORE_PROMOTION_INSTANCE_REQUESTS_H_
#define AMARANTHLANE_CORE_PROMOTION_INSTANCE_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/promotion/messages.h"
#include "core/types.h"

// Requests to the instances of a group, each repeated until it is answered.
namespace amaranthlane::promotion {

struct RetrySettings {
  // How long to wait for a reply.
  Duration reply_timeout;
  // The delay before the first retry, and the limit up to which it doubles.
  Duration first_delay;
  Duration max_delay;
};

// The time of the next attempt after `failures` failed ones. `failures` must be at least 1.
TimePoint RetryTime(TimePoint now, const RetrySettings& settings, std::uint32_t failures);

// A request to be sent now.
struct DueRequest {
  RequestId request = 0;
  EndpointName endpoint;
  TimePoint deadline;
};

// At most one request for each instance.
class InstanceRequests {
 public:
  explicit InstanceRequests(RetrySettings settings);

  void Clear();
  // Schedules a request for `at`, unless one is scheduled or in flight already.
  void Schedule(const EndpointName& endpoint, TimePoint at);
  void Remove(const EndpointName& endpoint);
  // Returns the requests to send now, numbered from `last_request` + 1. Schedules a retry of each request whose
  // deadline has passed.
  std::vector<DueRequest> TakeDue(TimePoint now, RequestId& last_request);
  // Ends a request. Returns its instance, or nothing when the request is no longer in flight.
  std::optional<EndpointName> Answered(RequestId request);
  // Schedules a retry. Returns the request's instance, or nothing when the request is no longer in flight.
  std::optional<EndpointName> Failed(RequestId request, TimePoint now);
  TimePoint NextDeadline() const;

 private:
  struct Entry {
    EndpointName endpoint;
    // 0 while the request waits to be sent.
    RequestId request = 0;
    // When the request is to be sent, or, once in flight, when it times out.
    TimePoint due;
    std::uint32_t failures = 0;
  };

  std::vector<Entry>::iterator FindRequest(RequestId request);
  void ScheduleRetry(Entry& entry, TimePoint now);

  RetrySettings settings;
  std::vector<Entry> entries;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_INSTANCE_REQUESTS_H_
