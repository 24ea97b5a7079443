#ifndef AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_
#define AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_

#include <cstdint>
#include <random>

#include "core/outcomes/request.h"

namespace amaranthlane::outcomes {

// A request that an entry VM forwards to the leader of its group. The entry VM keeps one for each open request.
struct ForwardedRequest {
  Request request;
  std::uint32_t attempts = 0;
  // An earlier attempt was sent and isn't known to have been refused before running.
  bool may_have_run = false;
  // An attempt was sent and its result isn't known yet.
  bool in_flight = false;
};

// The result of an attempt to forward the request, or an event that ends the request.
enum class ForwardEvent : std::uint8_t {
  // No byte of the request was sent: no leader is known, or no connection was available.
  kNotSent,
  // After the request was sent, the connection broke, went silent or delivered an unreadable answer, or the leader or
  // the term changed before the outcome was known.
  kLostAfterSend,
  // The VM answered that it isn't the leader, or that its leadership ended or the group's term moved; the request did
  // not run.
  kNotLeader,
  // The leader answered `not_run` for another reason (overload, deadline, endpoint's refusal), or the entry VM refused
  // to forward the request to it.
  kAnsweredNotRun,
  kAnsweredUnknown,
  kAnsweredDone,
  kDeadlinePassed,
  kShutdown,
};

enum class ForwardDecisionKind : std::uint8_t {
  // Look up the leader again and forward the request to it, at `not_before`.
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

// Decides what an entry VM does after each attempt to forward a request. The rules are those of the leader's request
// table: a request that may have run is sent again only if MayRepeat allows it.
class ForwardingPolicy {
 public:
  // `seed` seeds the generator of the backoff jitter.
  explicit ForwardingPolicy(std::uint64_t seed);

  // Starts an attempt if the request may be sent at `now`; from then on the attempt counts as sent. Returns false if
  // the request's deadline has passed, or if it may have run and must not be sent again.
  static bool TryStartAttempt(ForwardedRequest& forwarded, TimePoint now);
  // Decides what to do after `event`, which ends an attempt or the request.
  ForwardDecision Decide(ForwardedRequest& forwarded, ForwardEvent event, TimePoint now);

 private:
  ForwardDecision RetryOrAnswer(const ForwardedRequest& forwarded, EndReason reason, TimePoint now);
  ForwardDecision RetryIfRepeatable(ForwardedRequest& forwarded, EndReason reason, TimePoint now);

  std::mt19937_64 generator;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_FORWARDING_POLICY_H_
