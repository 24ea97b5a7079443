#ifndef AMARANTHLANE_DAEMON_OPEN_WORK_H_
#define AMARANTHLANE_DAEMON_OPEN_WORK_H_

#include <memory>
#include <unordered_map>

#include "core/scheduling/work_item.h"
#include "daemon/work.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// A row of a group leader's table of open work.
struct OpenWork {
  outcomes::RequestId id = 0;
  WorkRequest request;
  WorkCallback callback;
  // The idempotency key as endpoints know it: keys belong to their callers. Empty: none.
  std::string endpoint_key;
  TimePoint arrival;
  // Where it was dispatched to, and when; meaningful while it holds a slot.
  scheduling::EndpointIndex endpoint = 0;
  TimePoint sent_at;
  Term sent_term = 0;
  bool holds_slot = false;
  // An earlier attempt may have run: only the primary can tell.
  bool must_use_primary = false;
  // Must not use a connection that was open before.
  bool fresh_connection = false;
  // A read ran, but its answer was too old to pass on.
  bool result_discarded = false;
  // What the endpoint answered, until the work's end is known.
  WorkAnswer reply;
  std::unique_ptr<opentracing::Span> span;
};

using OpenWorkTable = std::unordered_map<outcomes::RequestId, OpenWork>;

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_OPEN_WORK_H_
