#include "core/promotion/instance_requests.h"

#include <algorithm>

namespace amaranthlane::promotion {

TimePoint RetryTime(TimePoint now, const RetrySettings& settings, std::uint32_t failures) {
  Duration delay = settings.first_delay;
  for (std::uint32_t doubled = 1; doubled < failures && delay < settings.max_delay; ++doubled) delay *= 2;
  return now + std::min(delay, settings.max_delay);
}

InstanceRequests::InstanceRequests(RetrySettings settings) : settings(settings) {}

void InstanceRequests::Clear() { this->entries.clear(); }

void InstanceRequests::Schedule(const EndpointName& endpoint, TimePoint at) {
  if (std::ranges::find(this->entries, endpoint, &Entry::endpoint) != this->entries.end()) return;
  this->entries.push_back(Entry{.endpoint = endpoint, .due = at});
}

void InstanceRequests::Remove(const EndpointName& endpoint) {
  std::erase_if(this->entries, [&endpoint](const Entry& entry) { return entry.endpoint == endpoint; });
}

std::vector<DueRequest> InstanceRequests::TakeDue(TimePoint now, RequestId& last_request) {
  std::vector<DueRequest> requests;
  for (Entry& entry : this->entries) {
    if (entry.due > now) continue;
    if (entry.request != 0) {
      this->ScheduleRetry(entry, now);
      continue;
    }
    entry.request = ++last_request;
    entry.due = now + this->settings.reply_timeout;
    requests.push_back(DueRequest{entry.request, entry.endpoint, entry.due});
  }
  return requests;
}

std::optional<EndpointName> InstanceRequests::Answered(RequestId request) {
  const auto entry = this->FindRequest(request);
  if (entry == this->entries.end()) return std::nullopt;
  EndpointName endpoint = entry->endpoint;
  this->entries.erase(entry);
  return endpoint;
}

std::optional<EndpointName> InstanceRequests::Failed(RequestId request, TimePoint now) {
  const auto entry = this->FindRequest(request);
  if (entry == this->entries.end()) return std::nullopt;
  this->ScheduleRetry(*entry, now);
  return entry->endpoint;
}

TimePoint InstanceRequests::NextDeadline() const {
  const auto next = std::ranges::min_element(this->entries, {}, &Entry::due);
  return next == this->entries.end() ? kNever : next->due;
}

std::vector<InstanceRequests::Entry>::iterator InstanceRequests::FindRequest(RequestId request) {
  if (request == 0) return this->entries.end();
  return std::ranges::find(this->entries, request, &Entry::request);
}

void InstanceRequests::ScheduleRetry(Entry& entry, TimePoint now) {
  ++entry.failures;
  entry.request = 0;
  entry.due = RetryTime(now, this->settings, entry.failures);
}

}  // namespace amaranthlane::promotion
