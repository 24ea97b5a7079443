#include "core/promotion/candidate_choice.h"

#include <algorithm>
#include <tuple>

namespace amaranthlane::promotion {
namespace {

using replicas::GroupRecord;
using replicas::PositionAnswer;

// An instance that was never configured, or has lost its data, says nothing of what was acknowledged while others have
// been configured.
std::vector<PositionAnswer> AnswersThatCount(const GroupRecord& record, const std::vector<PositionAnswer>& heard,
                                             const std::optional<EndpointName>& excluded) {
  const bool any_configured = std::ranges::any_of(heard, [](const PositionAnswer& answer) { return answer.term > 0; });
  std::vector<PositionAnswer> counted;
  for (const PositionAnswer& answer : heard) {
    if (answer.endpoint == excluded || record.Find(answer.endpoint) == nullptr) continue;
    if (any_configured && answer.term == 0) continue;
    counted.push_back(answer);
  }
  return counted;
}

bool Covers(const LogPosition& position, const AcknowledgedBounds& bounds, bool enough_heard,
            const LogPosition& most_advanced) {
  if (bounds.own && position < *bounds.own) return false;
  if (bounds.inherited && position >= *bounds.inherited) return true;
  return enough_heard && position == most_advanced;
}

}  // namespace

CandidateChoice ChooseCandidate(const GroupRecord& record, const std::vector<PositionAnswer>& heard,
                                const AcknowledgedBounds& bounds, const std::optional<EndpointName>& excluded) {
  const std::vector<PositionAnswer> counted = AnswersThatCount(record, heard, excluded);
  const bool enough_heard = counted.size() + 1 >= record.instances.size();
  LogPosition most_advanced;
  for (const PositionAnswer& answer : counted) most_advanced = std::max(most_advanced, answer.position);
  // A leaving instance is the last resort: as primary it gets no work, and a planned change follows at once.
  const auto order = [&record](const PositionAnswer& answer) {
    return std::tuple(!record.Find(answer.endpoint)->leaving, answer.position, answer.endpoint == record.primary,
                      answer.synced_term);
  };
  CandidateChoice choice;
  for (const PositionAnswer& answer : counted) {
    if (!Covers(answer.position, bounds, enough_heard, most_advanced)) continue;
    if (!choice.chosen || order(*choice.chosen) < order(answer)) choice.chosen = answer;
  }
  choice.all_heard = std::ranges::all_of(record.instances, [&heard, &excluded](const replicas::Instance& instance) {
    return instance.endpoint == excluded || std::ranges::count(heard, instance.endpoint, &PositionAnswer::endpoint) > 0;
  });
  if (!choice.chosen) {
    choice.reason = enough_heard ? WaitReason::kNoInstanceCovers : WaitReason::kTooFewInstancesHeard;
  }
  return choice;
}

}  // namespace amaranthlane::promotion
