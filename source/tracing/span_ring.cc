#include "tracing/span_ring.h"

#include <utility>

namespace amaranthlane::tracing {

SpanRing::SpanRing(std::size_t capacity) : capacity(capacity) {}

void SpanRing::Add(SpanRecord record) {
  if (this->capacity == 0) {
    return;
  }
  if (this->records.size() < this->capacity) {
    this->records.push_back(std::move(record));
    return;
  }
  this->records[this->oldest_index] = std::move(record);
  this->oldest_index = (this->oldest_index + 1) % this->capacity;
}

std::vector<SpanRecord> SpanRing::Find(const std::string& trace_id) const {
  std::vector<SpanRecord> found;
  for (std::size_t index = 0; index < this->records.size(); ++index) {
    const SpanRecord& record = this->records[(this->oldest_index + index) % this->records.size()];
    if (trace_id.empty() || FormatTraceId(record.context) == trace_id) {
      found.push_back(record);
    }
  }
  return found;
}

}  // namespace amaranthlane::tracing
