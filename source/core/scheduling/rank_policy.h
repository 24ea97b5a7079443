#ifndef AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_
#define AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/scheduling/work_item.h"

// Policies that choose the rank which gets the next free slot of an endpoint.
namespace amaranthlane::scheduling {

// The minimum share of the slots, 0 to 1, that each rank gets, indexed by rank.
using RankFloors = std::array<double, kRankCount>;

// The next statement of one rank at one endpoint.
struct RankHead {
  bool waiting = false;
  TimePoint arrival;
  // The time for which it is expected to occupy a slot.
  Duration expected_service_time = Duration::zero();
};
using RankHeads = std::array<RankHead, kRankCount>;

// The inputs of a wait estimate.
struct RankLoads {
  // The expected slot time of all waiting statements, by rank.
  std::array<Duration, kRankCount> backlogs{};
  // The slot time admitted per unit of time, by rank, in slots.
  std::array<double, kRankCount> admitted_slots{};
  RankFloors floors{};
  // The number of slots that may run the statement.
  double slots = 1.0;
};

// Upper bound of wait estimates. It also stands for an unbounded wait.
inline constexpr Duration kMaxWaitEstimate = std::chrono::hours(1);

// The interface of the policies. An object serves one group.
class RankPolicy {
 public:
  RankPolicy() = default;
  RankPolicy(const RankPolicy&) = delete;
  RankPolicy& operator=(const RankPolicy&) = delete;
  virtual ~RankPolicy() = default;

  // The rank that gets a free slot of `endpoint`; none if no rank has work waiting.
  virtual std::optional<Rank> ChooseRank(EndpointIndex endpoint, const RankHeads& heads) const = 0;
  // Accounts for a statement of `rank` that was given a slot of `endpoint`. `heads` are the queue heads before the
  // dispatch. Returns whether CorrectCharge is to be called when the statement has ended.
  virtual bool Charge(EndpointIndex endpoint, Rank rank, const RankHeads& heads, const RankFloors& floors);
  // Accounts for the difference between the actual and the expected slot time of a statement of `rank` that has ended.
  virtual void CorrectCharge(EndpointIndex endpoint, Rank rank, Duration difference);
  // The estimated time until a statement of `rank` that is queued now gets a slot, at most kMaxWaitEstimate.
  virtual Duration EstimateWait(Rank rank, const RankLoads& loads) const = 0;
};

// The available policies.
enum class PolicyKind : std::uint8_t {
  // Higher ranks first, but each lower rank gets at least its floor, a minimum share of the slots.
  kFloors,
  // Higher ranks always first. A baseline for measurements.
  kStrictPriority,
  // Order of arrival, regardless of the rank. A baseline for measurements, to be used with QueueOrder::kArrival.
  kFirstCome,
};
std::string_view PolicyKindName(PolicyKind kind);
// Throws ParseError when `name` isn't the name of a policy.
PolicyKind ParsePolicyKind(std::string_view name);
std::unique_ptr<RankPolicy> MakeRankPolicy(PolicyKind kind);

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_
