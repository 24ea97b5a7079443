#ifndef AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_
#define AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_

#include <cstdint>
#include <optional>

#include "core/promotion/instance_requests.h"
#include "core/promotion/messages.h"
#include "core/types.h"

// Checks a suspected primary, whose open connections are unresponsive, by trying new connections.
namespace amaranthlane::promotion {

struct SuspicionSettings {
  // If a new connection isn't answered within this time, and no open one has been, the primary counts as failed.
  Duration reply_timeout;
  // How many new connections must fail in a row before that time, and the pause between them.
  std::uint32_t required_failures = 1;
  Duration retry_delay;
};

enum class Verdict : std::uint8_t {
  // Not decided yet.
  kUndecided,
  // A new connection was answered: only the open ones are unresponsive.
  kAnswers,
  // New connections fail, but an open one has been answered since the suspicion began.
  kOpenConnectionAnswered,
  kPrimaryFailed,
};

// One suspicion, from the first unresponsive connection to its verdict.
class Suspicion {
 public:
  explicit Suspicion(SuspicionSettings settings);

  // Starts to try new connections, unless that has begun already.
  void Begin(TimePoint now);
  void Clear();
  bool Active() const;
  // The probe to send on a new connection now. `endpoint` is the primary.
  std::optional<DueRequest> TakeDue(TimePoint now, const EndpointName& endpoint, RequestId& last_request);
  // A reply of the primary to a probe sent at `sent_at`; `request` is 0 on an open connection. A verdict other than
  // kUndecided ends the suspicion.
  Verdict OnReply(RequestId request, TimePoint sent_at);
  Verdict OnFailure(RequestId request, TimePoint now);
  // The verdict when the new connection hasn't been answered in time.
  Verdict OnTimeout(TimePoint now);
  TimePoint NextDeadline() const;

 private:
  Verdict End(Verdict verdict);

  SuspicionSettings settings;
  bool active = false;
  TimePoint started_at;
  bool open_connection_answered = false;
  std::uint32_t failures = 0;
  // 0 while the next attempt waits to be sent.
  RequestId request = 0;
  // When the next attempt is due, or the current one times out.
  TimePoint due = kNever;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_
