#include "core/promotion/candidate_choice.h"

#include <algorithm>
#include <tuple>

namespace amaranthlane::promotion {
namespace {

using replicas::GroupRecord;
using replicas::PositionReply;

// Once any instance has been configured, an instance that was never configured, or that has lost its data, says nothing
// about what was acknowledged.
std::vector<PositionReply> RelevantReplies(const GroupRecord& record, const std::vector<PositionReply>& replies,
                                           const std::optional<EndpointName>& excluded) {
  const bool any_configured = std::ranges::any_of(replies, [](const PositionReply& reply) { return reply.term > 0; });
  std::vector<PositionReply> relevant;
  for (const PositionReply& reply : replies) {
    if (reply.endpoint == excluded || record.Find(reply.endpoint) == nullptr) continue;
    if (any_configured && reply.term == 0) continue;
    relevant.push_back(reply);
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

CandidateChoice ChooseCandidate(const GroupRecord& record, const std::vector<PositionReply>& replies,
                                const AcknowledgedBounds& bounds, const std::optional<EndpointName>& excluded) {
  const std::vector<PositionReply> relevant = RelevantReplies(record, replies, excluded);
  const bool enough_answered = relevant.size() + 1 >= record.instances.size();
  LogPosition most_advanced;
  for (const PositionReply& reply : relevant) most_advanced = std::max(most_advanced, reply.position);
  // A leaving instance is chosen only if no other covers the acknowledged positions: as primary it would get no work,
  // and a planned change away from it would follow at once.
  const auto order = [&record](const PositionReply& reply) {
    return std::tuple(!record.Find(reply.endpoint)->leaving, reply.position, reply.endpoint == record.primary,
                      reply.synced_term);
  };
  CandidateChoice choice;
  for (const PositionReply& reply : relevant) {
    if (!Covers(reply.position, bounds, enough_answered, most_advanced)) continue;
    if (!choice.chosen || order(*choice.chosen) < order(reply)) choice.chosen = reply;
  }
  choice.all_answered =
      std::ranges::all_of(record.instances, [&replies, &excluded](const replicas::Instance& instance) {
        return instance.endpoint == excluded ||
               std::ranges::count(replies, instance.endpoint, &PositionReply::endpoint) > 0;
      });
  if (!choice.chosen) {
    choice.reason =
        enough_answered ? WaitReason::kAcknowledgedPositionNotCovered : WaitReason::kTooFewInstancesAnswered;
  }
  return choice;
}

}  // namespace amaranthlane::promotion
