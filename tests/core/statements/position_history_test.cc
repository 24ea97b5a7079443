#include "core/statements/position_history.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace amaranthlane::statements {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::seconds(50)};

TEST(PositionHistory, ReturnsTheLowestPositionCoveringATime) {
  PositionHistory history;
  history.Add(kNow, {1, 5});
  history.Add(kNow + milliseconds(100), {1, 8});
  history.Add(kNow + milliseconds(200), {1, 9});
  EXPECT_EQ(history.LowestPositionCovering(kNow + milliseconds(50)), (LogPosition{1, 8}));
  EXPECT_EQ(history.LowestPositionCovering(kNow + milliseconds(201)), std::nullopt);
}

TEST(PositionHistory, DropsPositionsOfAnEarlierTerm) {
  PositionHistory history;
  history.Add(kNow, {1, 50});
  history.Add(kNow + milliseconds(100), {2, 40});
  history.Add(kNow + milliseconds(200), {1, 60});
  EXPECT_EQ(history.LowestPositionCovering(kNow), (LogPosition{2, 40}));
  EXPECT_EQ(history.NewestPosition(), (LogPosition{2, 40}));
}

// For a log that grows: the position returned for a time is never lower than the end of the log at that time.
TEST(PositionHistory, NeverReturnsLessThanTheLogHeldAtThatTime) {
  const bool passed = rc::check("never less than the log held at that time", [] {
    PositionHistory history;
    std::vector<std::pair<TimePoint, std::uint64_t>> log;
    TimePoint now = kNow;
    std::uint64_t offset = 1;
    for (const auto& [pause, commits] : *rc::gen::container<std::vector<std::pair<int, int>>>(
             rc::gen::pair(rc::gen::inRange(1, 60), rc::gen::inRange(0, 4)))) {
      now += milliseconds(pause);
      offset += static_cast<std::uint64_t>(commits);
      log.emplace_back(now, offset);
      history.Add(now, {1, offset});
    }
    for (const auto& [moment, held] : log) {
      const std::optional<LogPosition> covering = history.LowestPositionCovering(moment);
      RC_ASSERT(!covering || covering->offset >= held);
    }
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::statements
