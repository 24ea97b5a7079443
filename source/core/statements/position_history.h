#ifndef AMARANTHLANE_CORE_STATEMENTS_POSITION_HISTORY_H_
#define AMARANTHLANE_CORE_STATEMENTS_POSITION_HISTORY_H_

#include <deque>
#include <optional>

#include "core/types.h"

namespace amaranthlane::statements {

// Log positions that a group's primary reported, each with the time at which the primary was queried. A reported
// position covers every commit that was acknowledged before the query was sent. A replica may therefore serve a read
// with a maximum staleness of B once it has reached any position queried within the last B.
class PositionHistory {
 public:
  // Records that the primary of `position.term` reported `position` in reply to a query sent at `queried_at`.
  void Add(TimePoint queried_at, const LogPosition& position);

  // The lowest recorded position that covers every commit acknowledged before `moment`; none if all recorded queries
  // are older.
  std::optional<LogPosition> LowestPositionCovering(TimePoint moment) const;

  // When the query of the newest recorded position was sent; the epoch of the clock if there is none.
  TimePoint LastQueriedAt() const;

  // The newest recorded position, if there is one.
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
