#include "core/promotion/candidate_choice.h"

#include <algorithm>
#include <tuple>

namespace amaranthlane::promotion {
namespace {

using replicas::GroupRecord;
using replicas::PositionAnswer;

// Once any instance has been configured, an instance that was never configured, or that has lost its data, says nothing
// about what was acknowledged.
std::vector<PositionAnswer> RelevantAnswers(const GroupRecord& record, const std::vector<PositionAnswer>& answers,
                                            const std::optional<EndpointName>& excluded) {
  const bool any_configured =
      std::ranges::any_of(answers, [](const PositionAnswer& answer) { return answer.term > 0; });
  std::vector<PositionAnswer> relevant;
  for (const PositionAnswer& answer : answers) {
    if (answer.endpoint == excluded || record.Find(answer.endpoint) == nullptr) continue;
    if (any_configured && answer.term == 0) continue;
    relevant.push_back(answer);
  }
  return relevant;
}

bool Covers(const LogPosition& position, const AcknowledgedBounds& bounds, bool enough_answered,
            const LogPosition& most_advanced) {
  if (bounds.own && position < *bounds.own) return false;
  if (bounds.inherited && position >= *bounds.inherited) return true;
  return enough_answered && position == most_advanced;
}

}  // namespace

CandidateChoice ChooseCandidate(const GroupRecord& record, const std::vector<PositionAnswer>& answers,
                                const AcknowledgedBounds& bounds, const std::optional<EndpointName>& excluded) {
  const std::vector<PositionAnswer> relevant = RelevantAnswers(record, answers, excluded);
  const bool enough_answered = relevant.size() + 1 >= record.instances.size();
  LogPosition most_advanced;
  for (const PositionAnswer& answer : relevant) most_advanced = std::max(most_advanced, answer.position);
  // A leaving instance is chosen only if no other covers: as primary it gets no work, and a planned change follows at
  // once.
  const auto order = [&record](const PositionAnswer& answer) {
    return std::tuple(!record.Find(answer.endpoint)->leaving, answer.position, answer.endpoint == record.primary,
                      answer.synced_term);
  };
  CandidateChoice choice;
  for (const PositionAnswer& answer : relevant) {
    if (!Covers(answer.position, bounds, enough_answered, most_advanced)) continue;
    if (!choice.chosen || order(*choice.chosen) < order(answer)) choice.chosen = answer;
  }
  choice.all_answered =
      std::ranges::all_of(record.instances, [&answers, &excluded](const replicas::Instance& instance) {
        return instance.endpoint == excluded ||
               std::ranges::count(answers, instance.endpoint, &PositionAnswer::endpoint) > 0;
      });
  if (!choice.chosen) {
    choice.reason =
        enough_answered ? WaitReason::kAcknowledgedPositionNotCovered : WaitReason::kTooFewInstancesAnswered;
  }
  return choice;
}

}  // namespace amaranthlane::promotion
