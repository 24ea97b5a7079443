#ifndef AMARANTHLANE_TRACING_RING_TRACER_H_
#define AMARANTHLANE_TRACING_RING_TRACER_H_

#include <opentracing/tracer.h>

#include <memory>
#include <random>
#include <string>

#include "tracing/span_ring.h"

namespace amaranthlane::tracing {

// An OpenTracing tracer that carries W3C trace contexts between processes and keeps sampled spans in a SpanRing. A span
// that isn't sampled only passes its context on. Used on one thread.
class RingTracer : public opentracing::Tracer, public std::enable_shared_from_this<RingTracer> {
 public:
  // `sample_one_in` samples that share of the traces that begin here; zero samples none. A trace that comes in with a
  // sampled context is always kept.
  RingTracer(std::size_t capacity, unsigned sample_one_in, std::uint64_t seed);

  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      opentracing::string_view operation_name, const opentracing::StartSpanOptions& options) const noexcept override;

  opentracing::expected<void> Inject(const opentracing::SpanContext& context, std::ostream& writer) const override;
  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     const opentracing::TextMapWriter& writer) const override;
  opentracing::expected<void> Inject(const opentracing::SpanContext& context,
                                     const opentracing::HTTPHeadersWriter& writer) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(std::istream& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::TextMapReader& reader) const override;
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
      const opentracing::HTTPHeadersReader& reader) const override;

  // The spans that are kept.
  SpanRing& Spans() const;

 private:
  TraceContext NewContext(const TraceContext* parent) const;

  // The OpenTracing interface starts spans through const methods.
  mutable SpanRing spans;
  mutable std::mt19937_64 generator;
  unsigned sample_one_in;
};

// The context of a span that a RingTracer started.
const TraceContext& ContextOf(const opentracing::Span& span);

// Starts a span whose parent is `traceparent`, a header value that may be empty.
std::unique_ptr<opentracing::Span> StartSpan(const RingTracer& tracer, std::string_view operation,
                                             std::string_view traceparent);

}  // namespace amaranthlane::tracing

#endif  // AMARANTHLANE_TRACING_RING_TRACER_H_
