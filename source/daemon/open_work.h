#ifndef AMARANTHLANE_DAEMON_OPEN_WORK_H_
#define AMARANTHLANE_DAEMON_OPEN_WORK_H_

#include <memory>
#include <unordered_map>

#include "core/scheduling/work_item.h"
#include "daemon/work.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// A request at the group's leader that has not been answered yet.
struct OpenWork {
  outcomes::RequestId id = 0;
  WorkRequest request;
  WorkCallback callback;
  // The idempotency key that is sent to endpoints. It contains the caller's name, because keys are scoped to their
  // callers. Empty if the request has none.
  std::string endpoint_key;
  TimePoint arrival;
  // The endpoint that it was dispatched to, and when. Valid only while it holds a slot.
  scheduling::EndpointIndex endpoint = 0;
  TimePoint sent_at;
  Term sent_term = 0;
  bool holds_slot = false;
  // True if an earlier attempt may have run, which only the primary can determine, or if a read returned too old a
  // result.
  bool must_use_primary = false;
  // The next attempt must use a new connection.
  bool fresh_connection = false;
  // A read ran, but its result was too old to be returned.
  bool result_discarded = false;
  // The endpoint's reply, kept until the outcome of the work is known.
  WorkReply reply;
  std::unique_ptr<opentracing::Span> span;
};

using OpenWorkTable = std::unordered_map<outcomes::RequestId, OpenWork>;

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_OPEN_WORK_H_
