#ifndef AMARANTHLANE_CORE_SCHEDULING_FLOOR_POLICY_H_
#define AMARANTHLANE_CORE_SCHEDULING_FLOOR_POLICY_H_

#include <array>
#include <optional>

#include "core/scheduling/rank_policy.h"

namespace amaranthlane::scheduling {

// Maximum sum of the floors of all ranks; urgent work keeps the rest of the slots. Floors with a greater sum are scaled
// down.
inline constexpr double kMaxFloorSum = 0.8;

// The highest rank that has work waiting; none if nothing waits.
std::optional<Rank> HighestWaitingRank(const RankHeads& heads);
// The time in which `slots` slots serve `backlog`, at most kMaxWaitEstimate.
Duration DrainTime(Duration backlog, double slots);
// The estimated wait of `rank` if all higher ranks are served first from the same `slots`.
Duration EstimatePriorityWait(Rank rank, const RankLoads& loads, double slots);

// Serves higher ranks first, but guarantees each lower rank a minimum share of the slots, its floor. While a rank and a
// higher one both have work waiting, the lower one earns credit at each endpoint: its floor times the slot time of each
// dispatched statement. Once the credit covers its next statement, that statement is served first. Credit is counted in
// slot time rather than statements, so that long statements can't take more than the floor.
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
