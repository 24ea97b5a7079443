#include "core/promotion/suspicion.h"

namespace amaranthlane::promotion {

Suspicion::Suspicion(SuspicionSettings settings) : settings(settings) {}

void Suspicion::Begin(TimePoint now) {
  if (this->active) return;
  this->Clear();
  this->active = true;
  this->started_at = now;
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
  this->due = now + this->settings.reply_timeout;
  return DueRequest{this->request, endpoint, this->due};
}

Verdict Suspicion::OnReply(RequestId request, TimePoint sent_at) {
  if (!this->active) return Verdict::kUndecided;
  // The verdict still waits for the new connection, since other open connections may stay unresponsive.
  if (request == 0 && sent_at >= this->started_at) this->open_connection_answered = true;
  if (request == 0 || request != this->request) return Verdict::kUndecided;
  return this->End(Verdict::kAnswers);
}

Verdict Suspicion::OnFailure(RequestId request, TimePoint now) {
  if (!this->active || request == 0 || request != this->request) return Verdict::kUndecided;
  ++this->failures;
  if (this->failures >= this->settings.required_failures) {
    return this->End(this->open_connection_answered ? Verdict::kOpenConnectionAnswered : Verdict::kPrimaryFailed);
  }
  this->request = 0;
  this->due = now + this->settings.retry_delay;
  return Verdict::kUndecided;
}

Verdict Suspicion::OnTimeout(TimePoint now) {
  if (!this->active || this->request == 0 || this->due > now) return Verdict::kUndecided;
  return this->End(this->open_connection_answered ? Verdict::kOpenConnectionAnswered : Verdict::kPrimaryFailed);
}

TimePoint Suspicion::NextDeadline() const { return this->active ? this->due : kNever; }

Verdict Suspicion::End(Verdict verdict) {
  this->Clear();
  return verdict;
}

}  // namespace amaranthlane::promotion
