#ifndef AMARANTHLANE_CORE_STATEMENTS_POSITION_HISTORY_H_
#define AMARANTHLANE_CORE_STATEMENTS_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "core/types.h"

namespace amaranthlane::statements {

// Where a group's primary stood, and when it was asked. A position that the primary told covers every commit that was
// acknowledged before the question was sent, so a read that may be B old needs any position asked for within the last
// B.
class PositionHistory {
 public:
  // The primary of `position.term` told `position` to a question sent at `queried_at`.
  void Add(TimePoint queried_at, const LogPosition& position);

  // The lowest known position that covers every commit acknowledged before `moment`, or none.
  std::optional<LogPosition> LowestPositionCovering(TimePoint moment) const;

  // When the primary was asked last; the epoch of the clock if never.
  TimePoint LastQueriedAt() const;

  // The newest position.
  std::optional<LogPosition> NewestPosition() const;

 private:
  struct Sample {
    TimePoint queried_at;
    LogPosition position;
  };
  std::deque<Sample> samples;
};

}  // namespace amaranthlane::statements

#endif  // AMARANTHLANE_CORE_STATEMENTS_POSITION_HISTORY_H_
