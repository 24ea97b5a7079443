#ifndef AMARANTHLANE_CORE_SCHEDULING_FLOOR_POLICY_H_
#define AMARANTHLANE_CORE_SCHEDULING_FLOOR_POLICY_H_

#include <array>
#include <optional>

#include "core/scheduling/rank_policy.h"

namespace amaranthlane::scheduling {

// The greatest share of slots that the floors of all ranks together keep from urgent work; greater ones are scaled
// down.
inline constexpr double kMaxFloorSum = 0.8;

// The highest rank that has work waiting.
std::optional<Rank> HighestWaitingRank(const RankHeads& heads);
// The time that `slots` slots need for `backlog`, at most kMaxWaitEstimate.
Duration DrainTime(Duration backlog, double slots);
// The wait of `rank` if all higher ranks go first and share `slots` with it.
Duration EstimatePriorityWait(Rank rank, const RankLoads& loads, double slots);

// Serves urgent work first, except that each lower rank earns credit, endpoint by endpoint, while it waits and a higher
// rank waits too: its floor times the slot time handed out. Once the credit covers its next statement, that statement
// goes first. Credit is counted in slot time and not in statements, so that long statements can't take more than the
// floor.
class FloorPolicy : public RankPolicy {
 public:
  std::optional<Rank> ChooseRank(EndpointIndex endpoint, const RankHeads& heads) const override;
  bool Charge(EndpointIndex endpoint, Rank rank, const RankHeads& heads, const RankFloors& floors) override;
  void CorrectCharge(EndpointIndex endpoint, Rank rank, Duration difference) override;
  Duration EstimateWait(Rank rank, const RankLoads& loads) const override;

 private:
  using Credits = std::array<Duration, kRankCount>;

  std::array<Credits, kMaxEndpoints> credits{};
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_FLOOR_POLICY_H_
