#include "core/scheduling/rank_policy.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/error.h"
#include "core/scheduling/floor_policy.h"

namespace amaranthlane::scheduling {

namespace {

constexpr std::array<std::pair<PolicyKind, std::string_view>, 3> kPolicyNames = {{
    {PolicyKind::kFloors, "floors"},
    {PolicyKind::kStrictPriority, "strict_priority"},
    {PolicyKind::kFirstCome, "first_come"},
}};

class StrictPriorityPolicy : public RankPolicy {
 public:
  std::optional<Rank> ChooseRank(EndpointIndex /*endpoint*/, const RankHeads& heads) const override {
    return HighestWaitingRank(heads);
  }

  Duration EstimateWait(Rank rank, const RankLoads& loads) const override {
    return EstimatePriorityWait(rank, loads, loads.slots);
  }
};

class FirstComePolicy : public RankPolicy {
 public:
  std::optional<Rank> ChooseRank(EndpointIndex /*endpoint*/, const RankHeads& heads) const override {
    std::optional<Rank> oldest;
    for (const Rank rank : kRanks) {
      const RankHead& head = heads[static_cast<std::size_t>(rank)];
      if (head.waiting && (!oldest || head.arrival < heads[static_cast<std::size_t>(*oldest)].arrival)) {
        oldest = rank;
      }
    }
    return oldest;
  }

  Duration EstimateWait(Rank /*rank*/, const RankLoads& loads) const override {
    Duration backlog = Duration::zero();
    for (const Duration& part : loads.backlogs) {
      backlog += part;
    }
    return DrainTime(backlog, loads.slots);
  }
};

}  // namespace

bool RankPolicy::Charge(EndpointIndex /*endpoint*/, Rank /*rank*/, const RankHeads& /*heads*/,
                        const RankFloors& /*floors*/) {
  return false;
}

void RankPolicy::CorrectCharge(EndpointIndex /*endpoint*/, Rank /*rank*/, Duration /*difference*/) {}

std::string_view PolicyKindName(PolicyKind kind) { return kPolicyNames[static_cast<std::size_t>(kind)].second; }

PolicyKind ParsePolicyKind(std::string_view name) {
  for (const auto& [kind, kind_name] : kPolicyNames) {
    if (kind_name == name) {
      return kind;
    }
  }
  throw ParseError("scheduler settings", std::string(name), "floors, strict_priority or first_come");
}

std::unique_ptr<RankPolicy> MakeRankPolicy(PolicyKind kind) {
  switch (kind) {
    case PolicyKind::kStrictPriority:
      return std::make_unique<StrictPriorityPolicy>();
    case PolicyKind::kFirstCome:
      return std::make_unique<FirstComePolicy>();
    case PolicyKind::kFloors:
      break;
  }
  return std::make_unique<FloorPolicy>();
}

}  // namespace amaranthlane::scheduling
