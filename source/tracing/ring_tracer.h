#ifndef AMARANTHLANE_TRACING_RING_TRACER_H_
#define AMARANTHLANE_TRACING_RING_TRACER_H_

#include <opentracing/tracer.h>

#include <memory>
#include <random>
#include <string>

#include "tracing/span_ring.h"

namespace amaranthlane::tracing {

// An OpenTracing tracer that propagates W3C trace contexts between processes and stores sampled spans in a SpanRing. A
// span that is not sampled only propagates its context. Must be used on one thread.
class RingTracer : public opentracing::Tracer, public std::enable_shared_from_this<RingTracer> {
 public:
  // Stores up to `capacity` spans. Samples one in `sample_one_in` of the traces that start in this process, none if it
  // is 0. Spans whose parent context is sampled are always stored. `seed` seeds the generator of identifiers.
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

  // The stored spans.
  SpanRing& Spans() const;

 private:
  TraceContext NewContext(const TraceContext* parent) const;

  // Mutable because the OpenTracing interface starts spans through const methods.
  mutable SpanRing spans;
  mutable std::mt19937_64 generator;
  unsigned sample_one_in;
};

// The context of `span`, which a RingTracer must have started.
const TraceContext& ContextOf(const opentracing::Span& span);

// Starts a span whose parent is given by the header value `traceparent`. An empty or malformed value starts a new
// trace.
std::unique_ptr<opentracing::Span> StartSpan(const RingTracer& tracer, std::string_view operation,
                                             std::string_view traceparent);

}  // namespace amaranthlane::tracing

#endif  // AMARANTHLANE_TRACING_RING_TRACER_H_
