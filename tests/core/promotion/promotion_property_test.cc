#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <vector>

#include "core/promotion/group_model.h"

namespace amaranthlane::promotion {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Generates at the nominal size: at a smaller one inRange would yield only the first kinds of faults.
rc::Gen<Fault> ArbitraryFault() {
  const auto kind =
      rc::gen::map(rc::gen::inRange(0, kFaultKinds), [](int kind) { return static_cast<FaultKind>(kind); });
  const auto after = rc::gen::map(rc::gen::inRange(0, 1200), [](int after) { return Duration(milliseconds(after)); });
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::build<Fault>(rc::gen::set(&Fault::kind, kind),
                                               rc::gen::set(&Fault::target, rc::gen::inRange<std::size_t>(0, 3)),
                                               rc::gen::set(&Fault::after, after)));
}

void ExpectNoViolation(const GroupModel& model) { RC_ASSERT(model.violations == std::vector<std::string>{}); }

RC_GTEST_PROP(PromotionPropertyTest, UpholdsItsGuaranteesUnderFaults, (std::uint32_t seed)) {
  const auto faults = *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
  GroupModel model(seed);
  model.Run(milliseconds(300));
  for (const Fault& fault : faults) {
    model.Apply(fault);
    model.Run(fault.after);
    ExpectNoViolation(model);
  }
  model.Heal();
  model.Run(seconds(8));
  const std::uint64_t before = model.acknowledged_count;
  model.Run(seconds(1));
  ExpectNoViolation(model);
  if (model.acknowledged_count == before) RC_FAIL(model.Describe());
}

// The gap in acknowledged writes after a single fault at the primary.
struct GapCase {
  const char* name;
  Fault fault;
};

class PromotionGapTest : public ::testing::TestWithParam<GapCase> {};

TEST_P(PromotionGapTest, IsWithinBounds) {
  std::vector<Duration> gaps;
  for (std::uint32_t seed = 0; seed < 50; ++seed) {
    GroupModel model(seed);
    model.Run(seconds(2) + milliseconds(seed));
    model.max_gap = Duration::zero();
    model.Apply(GetParam().fault);
    model.Run(seconds(5));
    EXPECT_TRUE(model.violations.empty());
    gaps.push_back(model.max_gap);
  }
  std::ranges::sort(gaps);
  const auto median = std::chrono::duration_cast<milliseconds>(gaps[gaps.size() / 2]);
  const auto worst = std::chrono::duration_cast<milliseconds>(gaps.back());
  RecordProperty("median_ms", std::to_string(median.count()));
  RecordProperty("worst_ms", std::to_string(worst.count()));
  EXPECT_LE(median, seconds(1));
  EXPECT_LE(worst, seconds(2));
}

INSTANTIATE_TEST_SUITE_P(OneFault, PromotionGapTest,
                         ::testing::Values(GapCase{"Kill", {FaultKind::kKill, 0, {}}},
                                           GapCase{"CutFromLeader", {FaultKind::kCutFromLeader, 0, {}}},
                                           GapCase{"CutFromReplicas", {FaultKind::kCutFromReplicas, 0, {}}},
                                           GapCase{"SilentConnections", {FaultKind::kStallOpenConnections, 0, {}}},
                                           GapCase{"Planned", {FaultKind::kPromote, 0, {}}}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace amaranthlane::promotion
