#include "core/promotion/suspicion.h"

namespace amaranthlane::promotion {

Suspicion::Suspicion(SuspicionSettings settings) : settings(settings) {}

void Suspicion::Begin(TimePoint now) {
  if (this->active) return;
  this->Clear();
  this->active = true;
  this->began_at = now;
  this->due = now;
}

void Suspicion::Clear() {
  this->active = false;
  this->open_connection_answered = false;
  this->failures = 0;
  this->request = 0;
  this->due = kNever;
}

bool Suspicion::Active() const { return this->active; }

std::optional<DueRequest> Suspicion::TakeDue(TimePoint now, const EndpointName& endpoint, RequestId& last_request) {
  if (!this->active || this->request != 0 || this->due > now) return std::nullopt;
  this->request = ++last_request;
  this->due = now + this->settings.answer_limit;
  return DueRequest{this->request, endpoint, this->due};
}

Verdict Suspicion::OnAnswer(RequestId request, TimePoint sent_at) {
  if (!this->active) return Verdict::kOpen;
  // The new connection is awaited even so: other open connections may still be silent for good.
  if (request == 0 && sent_at >= this->began_at) this->open_connection_answered = true;
  if (request == 0 || request != this->request) return Verdict::kOpen;
  return this->End(Verdict::kAnswers);
}

Verdict Suspicion::OnFailure(RequestId request, TimePoint now) {
  if (!this->active || request == 0 || request != this->request) return Verdict::kOpen;
  ++this->failures;
  if (this->failures >= this->settings.failures_needed) {
    return this->End(this->open_connection_answered ? Verdict::kAlive : Verdict::kGone);
  }
  this->request = 0;
  this->due = now + this->settings.pause;
  return Verdict::kOpen;
}

Verdict Suspicion::OnTime(TimePoint now) {
  if (!this->active || this->request == 0 || this->due > now) return Verdict::kOpen;
  return this->End(this->open_connection_answered ? Verdict::kAlive : Verdict::kGone);
}

TimePoint Suspicion::NextDeadline() const { return this->active ? this->due : kNever; }

Verdict Suspicion::End(Verdict verdict) {
  this->Clear();
  return verdict;
}

}  // namespace amaranthlane::promotion
