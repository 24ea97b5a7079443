#include "tracing/ring_tracer.h"

#include <istream>
#include <optional>
#include <ostream>
#include <sstream>
#include <utility>

namespace amaranthlane::tracing {

namespace {

constexpr char kTraceparentKey[] = "traceparent";

class RingSpanContext : public opentracing::SpanContext {
 public:
  explicit RingSpanContext(const TraceContext& context) : context(context) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string& key, const std::string& value)> /*visitor*/) const override {}
  std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override {
    return std::make_unique<RingSpanContext>(this->context);
  }
  std::string ToTraceID() const noexcept override { return FormatTraceId(this->context); }
  std::string ToSpanID() const noexcept override { return FormatSpanId(this->context.span_id); }

  TraceContext context;
};

std::string TagText(const opentracing::Value& value) {
  struct Visitor {
    std::string operator()(bool flag) const { return flag ? "true" : "false"; }
    std::string operator()(double number) const { return std::to_string(number); }
    std::string operator()(std::int64_t number) const { return std::to_string(number); }
    std::string operator()(std::uint64_t number) const { return std::to_string(number); }
    std::string operator()(const std::string& text) const { return text; }
    std::string operator()(opentracing::string_view text) const { return text; }
    std::string operator()(std::nullptr_t) const { return "null"; }
    std::string operator()(const char* text) const { return text; }
    std::string operator()(const opentracing::Values& /*values*/) const { return "[]"; }
    std::string operator()(const opentracing::Dictionary& /*values*/) const { return "{}"; }
  };
  return opentracing::Value::visit(value, Visitor{});
}

class RingSpan : public opentracing::Span {
 public:
  RingSpan(std::shared_ptr<const RingTracer> owner, SpanRecord record)
      : owner(std::move(owner)), span_context(record.context), record(std::move(record)) {
    this->started_at = opentracing::SteadyClock::now();
  }
  ~RingSpan() override { this->FinishWithOptions({}); }

  void FinishWithOptions(const opentracing::FinishSpanOptions& /*options*/) noexcept override {
    if (this->finished || !this->record.context.sampled) {
      return;
    }
    this->finished = true;
    this->record.elapsed =
        std::chrono::duration_cast<std::chrono::microseconds>(opentracing::SteadyClock::now() - this->started_at);
    this->owner->Spans().Add(std::move(this->record));
  }
  void SetOperationName(opentracing::string_view name) noexcept override { this->record.operation = name; }
  void SetTag(opentracing::string_view key, const opentracing::Value& value) noexcept override {
    if (this->record.context.sampled) {
      this->record.tags.push_back(SpanTag{key, TagText(value)});
    }
  }
  void SetBaggageItem(opentracing::string_view /*key*/, opentracing::string_view /*value*/) noexcept override {}
  std::string BaggageItem(opentracing::string_view /*key*/) const noexcept override { return {}; }
  void Log(std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override {
    for (const auto& [key, value] : fields) {
      this->SetTag(key, value);
    }
  }
  void Log(opentracing::SystemTime /*timestamp*/,
           std::initializer_list<std::pair<opentracing::string_view, opentracing::Value>> fields) noexcept override {
    this->Log(fields);
  }
  void Log(opentracing::SystemTime /*timestamp*/,
           const std::vector<std::pair<opentracing::string_view, opentracing::Value>>& fields) noexcept override {
    for (const auto& [key, value] : fields) {
      this->SetTag(key, value);
    }
  }
  const opentracing::SpanContext& context() const noexcept override { return this->span_context; }
  const opentracing::Tracer& tracer() const noexcept override { return *this->owner; }

 private:
  std::shared_ptr<const RingTracer> owner;
  RingSpanContext span_context;
  SpanRecord record;
  opentracing::SteadyTime started_at;
  bool finished = false;
};

std::optional<TraceContext> ParentOf(const opentracing::StartSpanOptions& options) {
  for (const auto& [type, context] : options.references) {
    const auto* parent = dynamic_cast<const RingSpanContext*>(context);
    if (parent != nullptr) {
      return parent->context;
    }
  }
  return std::nullopt;
}

std::unique_ptr<opentracing::SpanContext> ToSpanContext(std::string_view header) {
  const std::optional<TraceContext> context = ParseTraceparent(header);
  return context ? std::make_unique<RingSpanContext>(*context) : nullptr;
}

}  // namespace

RingTracer::RingTracer(std::size_t capacity, unsigned sample_one_in, std::uint64_t seed)
    : spans(capacity), generator(seed), sample_one_in(sample_one_in) {}

TraceContext RingTracer::NewContext(const TraceContext* parent) const {
  TraceContext context;
  context.span_id = this->generator() | 1U;
  if (parent != nullptr) {
    context.trace_id = parent->trace_id;
    context.sampled = parent->sampled;
    return context;
  }
  context.trace_id = {this->generator(), this->generator() | 1U};
  context.sampled = this->sample_one_in != 0 && this->generator() % this->sample_one_in == 0;
  return context;
}

std::unique_ptr<opentracing::Span> RingTracer::StartSpanWithOptions(
    opentracing::string_view operation_name, const opentracing::StartSpanOptions& options) const noexcept {
  const std::optional<TraceContext> parent = ParentOf(options);
  SpanRecord record;
  record.context = this->NewContext(parent ? &*parent : nullptr);
  if (record.context.sampled) {
    record.operation = operation_name;
    record.parent_span_id = parent ? parent->span_id : 0;
    record.start = std::chrono::system_clock::now();
  }
  return std::make_unique<RingSpan>(this->shared_from_this(), std::move(record));
}

opentracing::expected<void> RingTracer::Inject(const opentracing::SpanContext& context, std::ostream& writer) const {
  const auto* ring_context = dynamic_cast<const RingSpanContext*>(&context);
  if (ring_context == nullptr) {
    return opentracing::make_unexpected(opentracing::invalid_span_context_error);
  }
  writer << FormatTraceparent(ring_context->context);
  return {};
}

opentracing::expected<void> RingTracer::Inject(const opentracing::SpanContext& context,
                                               const opentracing::TextMapWriter& writer) const {
  const auto* ring_context = dynamic_cast<const RingSpanContext*>(&context);
  if (ring_context == nullptr) {
    return opentracing::make_unexpected(opentracing::invalid_span_context_error);
  }
  return writer.Set(kTraceparentKey, FormatTraceparent(ring_context->context));
}

opentracing::expected<void> RingTracer::Inject(const opentracing::SpanContext& context,
                                               const opentracing::HTTPHeadersWriter& writer) const {
  return this->Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> RingTracer::Extract(std::istream& reader) const {
  std::string header;
  reader >> header;
  return ToSpanContext(header);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> RingTracer::Extract(
    const opentracing::TextMapReader& reader) const {
  std::string header;
  const auto visited = reader.ForeachKey(
      [&header](opentracing::string_view key, opentracing::string_view value) -> opentracing::expected<void> {
        if (key == kTraceparentKey) {
          header = value;
        }
        return {};
      });
  if (!visited) {
    return opentracing::make_unexpected(visited.error());
  }
  return ToSpanContext(header);
}

opentracing::expected<std::unique_ptr<opentracing::SpanContext>> RingTracer::Extract(
    const opentracing::HTTPHeadersReader& reader) const {
  return this->Extract(static_cast<const opentracing::TextMapReader&>(reader));
}

SpanRing& RingTracer::Spans() const { return this->spans; }

const TraceContext& ContextOf(const opentracing::Span& span) {
  return static_cast<const RingSpanContext&>(span.context()).context;
}

std::unique_ptr<opentracing::Span> StartSpan(const RingTracer& tracer, std::string_view operation,
                                             std::string_view traceparent) {
  opentracing::StartSpanOptions options;
  const std::unique_ptr<opentracing::SpanContext> parent = ToSpanContext(traceparent);
  if (parent != nullptr) {
    options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, parent.get());
  }
  return tracer.StartSpanWithOptions(opentracing::string_view(operation.data(), operation.size()), options);
}

}  // namespace amaranthlane::tracing
