#ifndef AMARANTHLANE_TRACING_TRACE_CONTEXT_H_
#define AMARANTHLANE_TRACING_TRACE_CONTEXT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace amaranthlane::tracing {

// The identity of a span, as carried in the W3C `traceparent` header.
struct TraceContext {
  std::array<std::uint64_t, 2> trace_id = {0, 0};
  std::uint64_t span_id = 0;
  bool sampled = false;

  bool operator==(const TraceContext&) const = default;
};

// Parses a `traceparent` header. A malformed header is treated as absent, as the W3C recommendation requires.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

std::string FormatTraceparent(const TraceContext& context);
std::string FormatTraceId(const TraceContext& context);
std::string FormatSpanId(std::uint64_t span_id);

}  // namespace amaranthlane::tracing

#endif  // AMARANTHLANE_TRACING_TRACE_CONTEXT_H_
