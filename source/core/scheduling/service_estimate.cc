#include "core/scheduling/service_estimate.h"

#include <algorithm>

namespace amaranthlane::scheduling {

namespace {

// A new sample has a weight of 1 / kSmoothing in the mean.
constexpr int kSmoothing = 8;
// Without samples, the estimate halves each time this period has passed.
constexpr Duration kHalfLife = std::chrono::seconds(1);
constexpr Duration::rep kMaxHalvings = 40;

}  // namespace

void ServiceEstimate::Reset(Duration initial) {
  this->initial = initial;
  this->mean = initial;
  this->has_sample = false;
}

void ServiceEstimate::Add(Duration sample, TimePoint now) {
  const Duration previous = this->Expected(now);
  this->mean = this->has_sample ? previous + (sample - previous) / kSmoothing : sample;
  this->has_sample = true;
  this->updated = now;
}

Duration ServiceEstimate::Expected(TimePoint now) const {
  if (!this->has_sample || now - this->updated < kHalfLife) {
    return this->mean;
  }
  const Duration::rep halvings = (now - this->updated) / kHalfLife;
  const Duration decayed = halvings < kMaxHalvings ? this->mean / (Duration::rep{1} << halvings) : Duration::zero();
  return std::max(decayed, std::min(this->mean, this->initial));
}

}  // namespace amaranthlane::scheduling
