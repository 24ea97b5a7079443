#ifndef AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_
#define AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include "core/scheduling/work_item.h"

// Strategies that choose the rank which gets the next free slot of an endpoint.
namespace amaranthlane::scheduling {

// The share of slots that each rank keeps, indexed by rank.
using RankFloors = std::array<double, kRankCount>;

// The next statement of one rank at one endpoint.
struct RankHead {
  bool waiting = false;
  TimePoint arrival;
  // The slot time that serving it is expected to take.
  Duration expected_service_time = Duration::zero();
};
using RankHeads = std::array<RankHead, kRankCount>;

// What decides how long a statement will wait.
struct RankLoads {
  // The slot time that waits, by rank.
  std::array<Duration, kRankCount> backlogs{};
  // The slot time admitted per unit of time, by rank, in slots.
  std::array<double, kRankCount> admitted_slots{};
  RankFloors floors{};
  // The slots that the statement may use.
  double slots = 1.0;
};

// The longest wait that is estimated; it stands for a wait without end.
inline constexpr Duration kMaxWaitEstimate = std::chrono::hours(1);

// The interface of the strategies. An object serves one group.
class RankPolicy {
 public:
  RankPolicy() = default;
  RankPolicy(const RankPolicy&) = delete;
  RankPolicy& operator=(const RankPolicy&) = delete;
  virtual ~RankPolicy() = default;

  // The rank that gets a free slot of `endpoint`; nothing if none has work waiting.
  virtual std::optional<Rank> ChooseRank(EndpointIndex endpoint, const RankHeads& heads) const = 0;
  // Accounts for a statement of `rank` that was given a slot of `endpoint`. `heads` are those before the dispatch.
  // True: Correct is to be called when the statement has ended.
  virtual bool Charge(EndpointIndex endpoint, Rank rank, const RankHeads& heads, const RankFloors& floors);
  // Accounts for the difference between the real and the expected slot time of a statement of `rank` that has ended.
  virtual void CorrectCharge(EndpointIndex endpoint, Rank rank, Duration difference);
  // The time until a statement of `rank` that queues now gets its slot, at most kMaxWaitEstimate.
  virtual Duration EstimateWait(Rank rank, const RankLoads& loads) const = 0;
};

// The strategies that can be selected.
enum class PolicyKind : std::uint8_t {
  // Urgent first, with a floor for each lower rank.
  kFloors,
  // Urgent first, always. A baseline for measurements.
  kStrictPriority,
  // Order of arrival, whatever the rank. A baseline for measurements; it goes with QueueOrder::kArrival.
  kFirstCome,
};
std::string_view PolicyKindName(PolicyKind kind);
// Throws ParseError when `name` is no policy.
PolicyKind ParsePolicyKind(std::string_view name);
std::unique_ptr<RankPolicy> MakeRankPolicy(PolicyKind kind);

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_RANK_POLICY_H_
