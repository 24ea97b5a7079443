#include "core/scheduling/entry_admission.h"

#include <algorithm>

namespace amaranthlane::scheduling {

namespace {

// Up to this age a report has its full weight.
constexpr Duration kFullWeightAge = std::chrono::seconds(1);
// From this age on a report has no weight.
constexpr Duration kZeroWeightAge = std::chrono::seconds(3);
// Minimum delay after which a refused caller is told to retry.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);

// The weight of a report of that age, from 1 (fresh) to 0 (expired).
double ReportWeight(Duration age) {
  const double excess_age = static_cast<double>((age - kFullWeightAge).count());
  const double span = static_cast<double>((kZeroWeightAge - kFullWeightAge).count());
  return std::clamp(1.0 - excess_age / span, 0.0, 1.0);
}

}  // namespace

void EntryAdmission::RecordReport(const GroupName& group, const PressureReport& report, TimePoint now) {
  this->reports.insert_or_assign(group, ReceivedReport{.report = report, .received = now});
}

std::optional<EntryRefusal> EntryAdmission::Check(const GroupName& group, Rank rank, TargetKind target,
                                                  TimePoint deadline, TimePoint now, std::mt19937_64& generator) const {
  const auto found = this->reports.find(group);
  if (found == this->reports.end()) {
    return std::nullopt;
  }
  const Duration age = now - found->second.received;
  const double weight = ReportWeight(age);
  if (weight <= 0.0) {
    return std::nullopt;
  }
  const RankPressure& pressure = found->second.report.Of(rank, target);
  // The leader's queue has been draining since the report.
  const Duration wait = std::max(pressure.estimated_wait - age, Duration::zero());
  const TimePoint retry_at = now + std::max(wait, kMinRetryDelay);
  if (now + wait + pressure.expected_service_time > deadline) {
    return EntryRefusal{.reason = RefusalReason::kWaitTooLong, .retry_at = retry_at};
  }
  const double fraction = 1.0 - weight * (1.0 - pressure.admission_fraction);
  if (fraction < 1.0 && std::uniform_real_distribution<double>(0.0, 1.0)(generator) >= fraction) {
    return EntryRefusal{.reason = RefusalReason::kBackPressure, .retry_at = retry_at};
  }
  return std::nullopt;
}

void EntryAdmission::RemoveReport(const GroupName& group) { this->reports.erase(group); }

}  // namespace amaranthlane::scheduling
