#include "core/scheduling/entry_admission.h"

#include <gtest/gtest.h>

#include "core/scheduling/connection_quota.h"
#include "core/scheduling/scheduling_errors.h"

namespace amaranthlane::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EntryAdmissionTest : public testing::Test {
 protected:
  // The number of refusals among 1,000 requests with ample time, at the given age of the report.
  int CountRefusedAt(Duration age) {
    int refused = 0;
    for (int count = 0; count < 1000; ++count) {
      refused += this->Check(age, seconds(60)) ? 1 : 0;
    }
    return refused;
  }

  std::optional<EntryRefusal> Check(Duration age, Duration time_limit) {
    const TimePoint now = this->received + age;
    return this->admission.Check("group-1", Rank::kBulk, TargetKind::kReplicas, now + time_limit, now, this->generator);
  }

  void Report(Duration wait, double fraction) {
    PressureReport report;
    report.Of(Rank::kBulk, TargetKind::kReplicas) = {
        .estimated_wait = wait, .expected_service_time = milliseconds(2), .admission_fraction = fraction};
    this->admission.RecordReport("group-1", report, this->received);
  }

  EntryAdmission admission;
  std::mt19937_64 generator{5};
  TimePoint received = TimePoint(std::chrono::hours(1));
};

TEST_F(EntryAdmissionTest, ForwardsEverythingWithoutAReport) { EXPECT_EQ(this->CountRefusedAt(seconds(0)), 0); }

TEST_F(EntryAdmissionTest, RefusesWorkThatTheLeaderCannotServeInTime) {
  this->Report(milliseconds(300), 1.0);
  const std::optional<EntryRefusal> refusal = this->Check(seconds(0), milliseconds(200));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kWaitTooLong);
  EXPECT_EQ(refusal->retry_at, this->received + milliseconds(300));
  EXPECT_FALSE(this->Check(seconds(0), milliseconds(400)));
  // In the meantime the leader's queue has drained.
  EXPECT_FALSE(this->Check(milliseconds(150), milliseconds(200)));
}

TEST_F(EntryAdmissionTest, ForwardsTheAdmissionFractionUntilTheReportExpires) {
  this->Report(milliseconds(0), 0.3);
  EXPECT_NEAR(this->CountRefusedAt(seconds(0)), 700, 50);
  EXPECT_NEAR(this->CountRefusedAt(seconds(2)), 350, 50);
  EXPECT_EQ(this->CountRefusedAt(seconds(3)), 0);
}

TEST(ConnectionQuotaTest, ReservesConnectionsForStatementsAndForUrgentTransactions) {
  ConnectionQuota quota({.connections = 10, .reserved_for_statements = 4, .reserved_for_urgent = 2});
  for (int count = 0; count < 4; ++count) {
    EXPECT_TRUE(quota.TryAcquire(Rank::kBulk));
  }
  EXPECT_FALSE(quota.TryAcquire(Rank::kNormal));
  EXPECT_TRUE(quota.TryAcquire(Rank::kUrgent));
  EXPECT_TRUE(quota.TryAcquire(Rank::kUrgent));
  EXPECT_FALSE(quota.TryAcquire(Rank::kUrgent));
  quota.ReleaseOne();
  EXPECT_TRUE(quota.TryAcquire(Rank::kUrgent));
}

TEST(ConnectionQuotaTest, ThrowsOnReleaseWithoutAcquire) {
  ConnectionQuota quota({});
  EXPECT_THROW(quota.ReleaseOne(), QuotaUnderflowError);
}

}  // namespace
}  // namespace amaranthlane::scheduling
