#include "tracing/trace_context.h"

#include <gtest/gtest.h>
#include <opentracing/propagation.h>

#include "tracing/ring_tracer.h"

namespace amaranthlane::tracing {
namespace {

constexpr char kTraceparent[] = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

TEST(TraceContextTest, TraceparentSurvivesParsingAndFormatting) {
  const auto context = ParseTraceparent(kTraceparent);
  ASSERT_TRUE(context.has_value());
  EXPECT_TRUE(context->sampled);
  EXPECT_EQ(FormatTraceparent(*context), kTraceparent);
}

TEST(TraceContextTest, TreatsMalformedHeadersAsAbsent) {
  EXPECT_FALSE(ParseTraceparent("").has_value());
  EXPECT_FALSE(ParseTraceparent("00-zz").has_value());
  EXPECT_FALSE(ParseTraceparent("00-00000000000000000000000000000000-00f067aa0ba902b7-01").has_value());
  EXPECT_FALSE(ParseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736x00f067aa0ba902b7-01").has_value());
}

TEST(RingTracerTest, ChildSpanKeepsTraceIdAndRecordsParent) {
  const auto tracer = std::make_shared<RingTracer>(8, 0, 1);
  StartSpan(*tracer, "entry", kTraceparent)->Finish();
  const std::vector<SpanRecord> spans = tracer->Spans().Find("4bf92f3577b34da6a3ce929d0e0e4736");
  ASSERT_EQ(spans.size(), 1U);
  EXPECT_EQ(FormatSpanId(spans[0].parent_span_id), "00f067aa0ba902b7");
}

TEST(RingTracerTest, KeepsOnlyTheLatestSpans) {
  const auto tracer = std::make_shared<RingTracer>(2, 0, 1);
  for (const char* operation : {"first", "second", "third"}) {
    StartSpan(*tracer, operation, kTraceparent)->Finish();
  }
  const std::vector<SpanRecord> spans = tracer->Spans().Find("");
  ASSERT_EQ(spans.size(), 2U);
  EXPECT_EQ(spans[0].operation, "second");
  EXPECT_EQ(spans[1].operation, "third");
}

}  // namespace
}  // namespace amaranthlane::tracing
