#ifndef AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_
#define AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_

#include <cstdint>
#include <optional>

#include "core/promotion/instance_requests.h"
#include "core/promotion/messages.h"
#include "core/types.h"

// The evidence that a primary is gone: its open connections are silent and a new one fails.
namespace amaranthlane::promotion {

struct SuspicionSettings {
  // A new connection that isn't answered for so long is decisive.
  Duration answer_timeout;
  // How many new connections must fail in a row, and the pause between them.
  std::uint32_t required_failures = 1;
  Duration retry_delay;
};

enum class Verdict : std::uint8_t {
  // Nothing is decided.
  kUndecided,
  // A new connection was answered: only the open ones are silent.
  kAnswers,
  // New connections fail, but an open one was answered since.
  kOpenConnectionAnswered,
  kPrimaryFailed,
};

// One suspicion, from the first silent connection to its verdict.
class Suspicion {
 public:
  explicit Suspicion(SuspicionSettings settings);

  // Starts to try new connections; nothing when that has begun already.
  void Begin(TimePoint now);
  void Clear();
  bool Active() const;
  // The probe to send on a new connection now. `endpoint` is the primary.
  std::optional<DueRequest> TakeDue(TimePoint now, const EndpointName& endpoint, RequestId& last_request);
  // An answer of the primary to a probe sent at `sent_at`; `request` is 0 on an open connection. A verdict other than
  // kUndecided ends the suspicion.
  Verdict OnAnswer(RequestId request, TimePoint sent_at);
  Verdict OnFailure(RequestId request, TimePoint now);
  // The verdict when the new connection stays unanswered.
  Verdict OnTimeout(TimePoint now);
  TimePoint NextDeadline() const;

 private:
  Verdict End(Verdict verdict);

  SuspicionSettings settings;
  bool active = false;
  TimePoint started_at;
  bool open_connection_answered = false;
  std::uint32_t failures = 0;
  // 0 while the next attempt waits.
  RequestId request = 0;
  // When the next attempt is due, or the current one is given up.
  TimePoint due = kNever;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_SUSPICION_H_
