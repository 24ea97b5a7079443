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
  // How long an answer is waited for.
  Duration answer_timeout;
  // Delays of retries: the first, and the greatest that doubling leads to.
  Duration first_delay;
  Duration max_delay;
};

// The time of the next attempt after `failures` failed ones, at least one.
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
  // Sends a request at `at`, unless one is waiting or on its way already.
  void Schedule(const EndpointName& endpoint, TimePoint at);
  void Remove(const EndpointName& endpoint);
  // Returns the requests to send, numbered from `last_request` on. Requests past their deadlines are repeated later.
  std::vector<DueRequest> TakeDue(TimePoint now, RequestId& last_request);
  // Ends a request. Returns its instance, or nothing when it isn't on its way any more.
  std::optional<EndpointName> Answered(RequestId request);
  // Repeats a request later. Returns its instance, or nothing when it isn't on its way any more.
  std::optional<EndpointName> Failed(RequestId request, TimePoint now);
  TimePoint NextDeadline() const;

 private:
  struct Entry {
    EndpointName endpoint;
    // 0 while it waits to be sent.
    RequestId request = 0;
    // When it is to be sent, or given up.
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
