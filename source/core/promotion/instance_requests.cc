#include "core/promotion/instance_requests.h"

#include <algorithm>

namespace amaranthlane::promotion {

TimePoint RetryTime(TimePoint now, const RetrySettings& settings, std::uint32_t failures) {
  Duration delay = settings.first_delay;
  for (std::uint32_t doubled = 1; doubled < failures && delay < settings.greatest_delay; ++doubled) delay *= 2;
  return now + std::min(delay, settings.greatest_delay);
}

InstanceRequests::InstanceRequests(RetrySettings settings) : settings(settings) {}

void InstanceRequests::Clear() { this->rows.clear(); }

void InstanceRequests::Schedule(const EndpointName& endpoint, TimePoint at) {
  if (std::ranges::find(this->rows, endpoint, &Row::endpoint) != this->rows.end()) return;
  this->rows.push_back(Row{.endpoint = endpoint, .due = at});
}

void InstanceRequests::Remove(const EndpointName& endpoint) {
  std::erase_if(this->rows, [&endpoint](const Row& row) { return row.endpoint == endpoint; });
}

std::vector<DueRequest> InstanceRequests::TakeDue(TimePoint now, RequestId& last_request) {
  std::vector<DueRequest> requests;
  for (Row& row : this->rows) {
    if (row.due > now) continue;
    if (row.request != 0) {
      this->Repeat(row, now);
      continue;
    }
    row.request = ++last_request;
    row.due = now + this->settings.answer_limit;
    requests.push_back(DueRequest{row.request, row.endpoint, row.due});
  }
  return requests;
}

std::optional<EndpointName> InstanceRequests::Answered(RequestId request) {
  const auto row = this->FindRequest(request);
  if (row == this->rows.end()) return std::nullopt;
  EndpointName endpoint = row->endpoint;
  this->rows.erase(row);
  return endpoint;
}

std::optional<EndpointName> InstanceRequests::Failed(RequestId request, TimePoint now) {
  const auto row = this->FindRequest(request);
  if (row == this->rows.end()) return std::nullopt;
  this->Repeat(*row, now);
  return row->endpoint;
}

TimePoint InstanceRequests::NextDeadline() const {
  const auto next = std::ranges::min_element(this->rows, {}, &Row::due);
  return next == this->rows.end() ? kNever : next->due;
}

std::vector<InstanceRequests::Row>::iterator InstanceRequests::FindRequest(RequestId request) {
  if (request == 0) return this->rows.end();
  return std::ranges::find(this->rows, request, &Row::request);
}

void InstanceRequests::Repeat(Row& row, TimePoint now) {
  ++row.failures;
  row.request = 0;
  row.due = RetryTime(now, this->settings, row.failures);
}

}  // namespace amaranthlane::promotion
