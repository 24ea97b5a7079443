#include "core/outcomes/forwarding_policy.h"

#include "core/outcomes/retry_rule.h"

namespace amaranthlane::outcomes {

namespace {

ForwardDecision AnswerDecision(Outcome outcome, EndReason reason) {
  return {.kind = ForwardDecisionKind::kAnswer, .not_before = kNever, .outcome = outcome, .reason = reason};
}

Outcome UnansweredOutcome(bool may_have_run) { return may_have_run ? Outcome::kUnknown : Outcome::kNotRun; }

}  // namespace

ForwardingPolicy::ForwardingPolicy(std::uint64_t seed) : generator(seed) {}

bool ForwardingPolicy::TryStartAttempt(ForwardedRequest& forwarded, TimePoint now) {
  if (now >= forwarded.request.deadline || (forwarded.may_have_run && !MayRepeat(forwarded.request))) {
    return false;
  }
  ++forwarded.attempts;
  forwarded.in_flight = true;
  return true;
}

ForwardDecision ForwardingPolicy::Decide(ForwardedRequest& forwarded, ForwardEvent event, TimePoint now) {
  const bool was_in_flight = forwarded.in_flight;
  forwarded.in_flight = false;
  switch (event) {
    case ForwardEvent::kNotSent:
      return this->RetryOrAnswer(forwarded, EndReason::kConnectionLost, now);
    case ForwardEvent::kNotLeader:
      return this->RetryOrAnswer(forwarded, EndReason::kLeadershipLost, now);
    case ForwardEvent::kLostAfterSend:
      return this->RetryIfRepeatable(forwarded, EndReason::kConnectionLost, now);
    case ForwardEvent::kAnsweredUnknown:
      return this->RetryIfRepeatable(forwarded, EndReason::kAnswered, now);
    case ForwardEvent::kAnsweredNotRun:
      // The answer concerns only this attempt; an earlier one may still run.
      return AnswerDecision(UnansweredOutcome(forwarded.may_have_run), EndReason::kAnswered);
    case ForwardEvent::kAnsweredDone:
      return AnswerDecision(Outcome::kDone, EndReason::kAnswered);
    case ForwardEvent::kDeadlinePassed:
      return AnswerDecision(UnansweredOutcome(forwarded.may_have_run || was_in_flight), EndReason::kDeadlinePassed);
    case ForwardEvent::kShutdown:
      break;
  }
  return AnswerDecision(UnansweredOutcome(forwarded.may_have_run || was_in_flight), EndReason::kShutdown);
}

ForwardDecision ForwardingPolicy::RetryOrAnswer(const ForwardedRequest& forwarded, EndReason reason, TimePoint now) {
  const TimePoint not_before = now + BackoffDelay(forwarded.attempts, this->generator);
  if (not_before >= forwarded.request.deadline) {
    return AnswerDecision(UnansweredOutcome(forwarded.may_have_run), reason);
  }
  return {.kind = ForwardDecisionKind::kForwardAgain,
          .not_before = not_before,
          .outcome = UnansweredOutcome(forwarded.may_have_run),
          .reason = reason};
}

ForwardDecision ForwardingPolicy::RetryIfRepeatable(ForwardedRequest& forwarded, EndReason reason, TimePoint now) {
  forwarded.may_have_run = true;
  if (!MayRepeat(forwarded.request)) {
    return AnswerDecision(Outcome::kUnknown, reason);
  }
  return this->RetryOrAnswer(forwarded, reason, now);
}

}  // namespace amaranthlane::outcomes
