#include "core/statements/position_history.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::statements {

namespace {

// Minimum time between two recorded samples. Skipping a sample never weakens a read's bound: the read then needs the
// next newer sample, or the primary if there is none.
constexpr std::chrono::milliseconds kMinSampleInterval{25};
// Samples that are older than the newest one by more than this are discarded.
constexpr std::chrono::seconds kRetention{30};

}  // namespace

void PositionHistory::Add(TimePoint queried_at, const LogPosition& position) {
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (position.term < last.position.term || queried_at < last.queried_at + kMinSampleInterval) {
      return;
    }
    if (position.term > last.position.term) {
      // Positions of an earlier term may have been rolled back, in which case no replica would ever reach them.
      this->samples.clear();
    }
  }
  this->samples.push_back({queried_at, position});
  while (this->samples.front().queried_at + kRetention < queried_at) {
    this->samples.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::LowestPositionCovering(TimePoint moment) const {
  const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), moment,
                                      [](const Sample& sample, TimePoint time) { return sample.queried_at < time; });
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  return found->position;
}

TimePoint PositionHistory::LastQueriedAt() const {
  return this->samples.empty() ? TimePoint() : this->samples.back().queried_at;
}

std::optional<LogPosition> PositionHistory::NewestPosition() const {
  if (this->samples.empty()) {
    return std::nullopt;
  }
  return this->samples.back().position;
}

}  // namespace amaranthlane::statements
