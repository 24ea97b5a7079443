#include "core/statements/position_history.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::statements {

namespace {

// Samples are kept apart by so much, and for so long. No read is owed less than what the newest sample covers.
constexpr std::chrono::milliseconds kMinSampleInterval{25};
constexpr std::chrono::seconds kRetention{30};

}  // namespace

void PositionHistory::Add(TimePoint asked_at, const LogPosition& position) {
  if (!this->samples.empty()) {
    const Sample& last = this->samples.back();
    if (position.term < last.position.term || asked_at < last.asked_at + kMinSampleInterval) {
      return;
    }
    if (position.term > last.position.term) {
      // Positions of a former term may have been rolled back; nothing could cover them then.
      this->samples.clear();
    }
  }
  this->samples.push_back({asked_at, position});
  while (this->samples.front().asked_at + kRetention < asked_at) {
    this->samples.pop_front();
  }
}

std::optional<LogPosition> PositionHistory::Covering(TimePoint moment) const {
  const auto found = std::lower_bound(this->samples.begin(), this->samples.end(), moment,
                                      [](const Sample& sample, TimePoint time) { return sample.asked_at < time; });
  if (found == this->samples.end()) {
    return std::nullopt;
  }
  return found->position;
}

TimePoint PositionHistory::LastAsked() const {
  return this->samples.empty() ? TimePoint() : this->samples.back().asked_at;
}

std::optional<LogPosition> PositionHistory::Newest() const {
  if (this->samples.empty()) {
    return std::nullopt;
  }
  return this->samples.back().position;
}

}  // namespace amaranthlane::statements
