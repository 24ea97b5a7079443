#include "tracing/trace_context.h"

#include <fmt/format.h>

#include <charconv>

namespace amaranthlane::tracing {

namespace {

// Layout of the header: version "-" trace-id "-" parent-id "-" flags
constexpr std::size_t kTraceparentLength = 55;
constexpr std::size_t kTraceIdStart = 3;
constexpr std::size_t kSpanIdStart = 36;
constexpr std::size_t kFlagsStart = 53;
constexpr std::size_t kUint64Digits = 16;
constexpr std::size_t kFlagsDigits = 2;
constexpr std::uint64_t kSampledFlag = 1;

std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  if (header.size() != kTraceparentLength || header.substr(0, kTraceIdStart) != "00-") {
    return std::nullopt;
  }
  const auto high = ParseHex(header.substr(kTraceIdStart, kUint64Digits));
  const auto low = ParseHex(header.substr(kTraceIdStart + kUint64Digits, kUint64Digits));
  const auto span_id = ParseHex(header.substr(kSpanIdStart, kUint64Digits));
  const auto flags = ParseHex(header.substr(kFlagsStart, kFlagsDigits));
  if (!high || !low || !span_id || !flags || (*high == 0 && *low == 0) || *span_id == 0) {
    return std::nullopt;
  }
  if (header[kSpanIdStart - 1] != '-' || header[kFlagsStart - 1] != '-') {
    return std::nullopt;
  }
  return TraceContext{{*high, *low}, *span_id, (*flags & kSampledFlag) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}", context.trace_id[0], context.trace_id[1], context.span_id,
                     context.sampled ? 1 : 0);
}

std::string FormatTraceId(const TraceContext& context) {
  return fmt::format("{:016x}{:016x}", context.trace_id[0], context.trace_id[1]);
}

std::string FormatSpanId(std::uint64_t span_id) { return fmt::format("{:016x}", span_id); }

}  // namespace amaranthlane::tracing
