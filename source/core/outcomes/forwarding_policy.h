#ifndef AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_
#define AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_

#include <cstdint>
#include <random>

#include "core/outcomes/request.h"

namespace amaranthlane::outcomes {

// A request that an entry VM passes to the leader of its group. The entry VM keeps one for each open request.
struct ForwardedRequest {
  Request request;
  std::uint32_t attempts = 0;
  // An earlier attempt was sent and isn't known to have been refused before running.
  bool may_have_run = false;
  // An attempt was sent and its end isn't known yet.
  bool in_flight = false;
};

// What became of one attempt to pass the request on.
enum class ForwardEvent : std::uint8_t {
  // No byte of the request was sent: no leader is known, or no connection could be had.
  kNotSent,
  // The connection broke, went silent or gave an answer that can't be read, after the request was sent.
  kLostAfterSend,
  // The VM answered that it isn't the leader, or that its leadership ended: not run.
  kNotLeader,
  // The leader answered `not_run` for another reason (overload, deadline, endpoint's refusal).
  kAnsweredNotRun,
  kAnsweredUnknown,
  kAnsweredDone,
  kDeadlinePassed,
  kShutdown,
};

enum class ForwardDecisionKind : std::uint8_t {
  // Look up the leader again and pass the request on, at `not_before`.
  kForwardAgain,
  // End the request and tell the caller `outcome`.
  kAnswer,
};

// What to do with the request next.
struct ForwardDecision {
  ForwardDecisionKind kind = ForwardDecisionKind::kAnswer;
  TimePoint not_before;
  Outcome outcome = Outcome::kUnknown;
  EndReason reason = EndReason::kAnswered;
};

// Decides what an entry VM does after each attempt to pass a request on. The rules are those of the leader's table:
// what may have run is repeated only if that can't do it twice.
class ForwardingPolicy {
 public:
  // `seed` starts the generator of the backoff's jitter.
  explicit ForwardingPolicy(std::uint64_t seed);

  // Whether the request may be sent at `now`. True: the attempt counts as sent from now on. False: its deadline has
  // passed, or it may have run and mustn't be repeated.
  static bool TryStartAttempt(ForwardedRequest& forwarded, TimePoint now);
  // Takes in the end of an attempt, or of the request.
  ForwardDecision Decide(ForwardedRequest& forwarded, ForwardEvent event, TimePoint now);

 private:
  ForwardDecision RetryOrAnswer(const ForwardedRequest& forwarded, EndReason reason, TimePoint now);
  ForwardDecision RetryIfRepeatable(ForwardedRequest& forwarded, EndReason reason, TimePoint now);

  std::mt19937_64 generator;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_
