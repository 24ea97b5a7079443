#include "daemon/work.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "common/error.h"

namespace amaranthlane::daemon {
namespace {

// Guards against a text from another VM that changes the members beside it in the message to the endpoint.
TEST(WorkRequestTest, AStatementThatIsNoObjectIsMalformed) {
  const TimePoint now = BootClock::now();
  WorkRequest request;
  request.deadline = now + std::chrono::seconds(1);
  for (const WorkKind kind : {WorkKind::kStatement, WorkKind::kTransactionStatement}) {
    request.kind = kind;
    for (const char* text : {R"({},"mode":"write")", R"({}}{"a":{)", "", "1", "[]", R"("a")", R"({"a":1)"}) {
      request.statement = text;
      EXPECT_THROW(ParseWorkRequest(FormatWorkRequest(request, now), now), ParseError) << text;
    }
    request.statement = R"( {"a":{"b":[1,"}"]}})";
    EXPECT_EQ(ParseWorkRequest(FormatWorkRequest(request, now), now).statement, request.statement);
  }
}

TEST(WorkRequestTest, ACallWithoutAStatementNeedsNone) {
  const TimePoint now = BootClock::now();
  WorkRequest request;
  request.deadline = now + std::chrono::seconds(1);
  for (const WorkKind kind : {WorkKind::kBegin, WorkKind::kCommit, WorkKind::kRollback, WorkKind::kOutcomeQuery}) {
    request.kind = kind;
    EXPECT_EQ(ParseWorkRequest(FormatWorkRequest(request, now), now).kind, kind);
  }
}

}  // namespace
}  // namespace amaranthlane::daemon
