#include "core/scheduling/admission_control.h"

#include <algorithm>
#include <cmath>

namespace amaranthlane::scheduling {

namespace {

using Seconds = std::chrono::duration<double>;

// Time constant with which the sum of admitted slot time decays.
constexpr Seconds kMeterTimeConstant{0.5};
// The entry VMs forward slightly more than was accepted, so that slots don't become idle between two reports.
constexpr double kAdmissionHeadroom = 1.05;
// One report lowers the fraction to no less than this share of its previous value.
constexpr double kMinDecreaseFactor = 0.5;
// Each report without a refusal raises the fraction by this factor and then by kIncreaseStep.
constexpr double kIncreaseFactor = 1.25;
constexpr double kIncreaseStep = 0.01;
constexpr double kMinFraction = 0.01;

}  // namespace

double AdmissionControl::SlotTimeMeter::SumAt(TimePoint now) const {
  if (this->sum_seconds <= 0.0) {
    return 0.0;
  }
  const Seconds age = std::max(now - this->updated, Duration::zero());
  return this->sum_seconds * std::exp(-age / kMeterTimeConstant);
}

void AdmissionControl::CountArrived(Rank rank, TargetKind target) { ++this->CountsOf(rank, target).arrived; }

void AdmissionControl::CountRefused(Rank rank, TargetKind target) { ++this->CountsOf(rank, target).refused; }

void AdmissionControl::CountAdmitted(Rank rank, EndpointIndex endpoint, Duration slot_time, TimePoint now) {
  SlotTimeMeter& meter = this->meters[static_cast<std::size_t>(rank)][endpoint];
  meter.sum_seconds = meter.SumAt(now) + Seconds(slot_time).count();
  meter.updated = now;
}

double AdmissionControl::AdmittedSlots(Rank rank, EndpointIndex endpoint, TimePoint now) const {
  return this->meters[static_cast<std::size_t>(rank)][endpoint].SumAt(now) / kMeterTimeConstant.count();
}

double AdmissionControl::UpdateAdmissionFraction(Rank rank, TargetKind target) {
  Counts& counts = this->CountsOf(rank, target);
  if (counts.refused > 0) {
    // Work that was admitted before the last call may be refused after it, so the difference can be negative.
    const double arrived = std::max(static_cast<double>(counts.arrived), 1.0);
    const double accepted = std::max(arrived - static_cast<double>(counts.refused), 0.0);
    counts.fraction *= std::clamp(accepted / arrived * kAdmissionHeadroom, kMinDecreaseFactor, 1.0);
  } else {
    counts.fraction = counts.fraction * kIncreaseFactor + kIncreaseStep;
  }
  counts.fraction = std::clamp(counts.fraction, kMinFraction, 1.0);
  counts.arrived = 0;
  counts.refused = 0;
  return counts.fraction;
}

AdmissionControl::Counts& AdmissionControl::CountsOf(Rank rank, TargetKind target) {
  return this->counts[static_cast<std::size_t>(rank)][static_cast<std::size_t>(target)];
}

}  // namespace amaranthlane::scheduling
