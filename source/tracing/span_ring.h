#ifndef AMARANTHLANE_TRACING_SPAN_RING_H_
#define AMARANTHLANE_TRACING_SPAN_RING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tracing/trace_context.h"

namespace amaranthlane::tracing {

struct SpanTag {
  std::string key;
  std::string value;
};

// A finished span.
struct SpanRecord {
  std::string operation;
  TraceContext context;
  // 0 for the root span of a trace.
  std::uint64_t parent_span_id = 0;
  std::chrono::system_clock::time_point start;
  std::chrono::microseconds elapsed{0};
  std::vector<SpanTag> tags;
};

// A ring buffer in memory with the most recent spans of this process. The oldest span is overwritten first.
class SpanRing {
 public:
  explicit SpanRing(std::size_t capacity);

  void Add(SpanRecord record);

  // The stored spans of one trace, or of all traces if `trace_id` is empty, oldest first.
  std::vector<SpanRecord> Find(const std::string& trace_id) const;

 private:
  std::vector<SpanRecord> records;
  std::size_t capacity;
  std::size_t oldest_index = 0;
};

}  // namespace amaranthlane::tracing

#endif  // AMARANTHLANE_TRACING_SPAN_RING_H_
