#ifndef AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_
#define AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_

#include <optional>
#include <vector>

#include "core/promotion/messages.h"
#include "core/replicas/group_record.h"
#include "core/replicas/position_reply.h"
#include "core/types.h"

// Chooses the instance that may become primary without losing an acknowledged position.
namespace amaranthlane::promotion {

// What is known of the positions that were acknowledged as replicated.
struct AcknowledgedBounds {
  // The highest position that this leader has acknowledged itself.
  std::optional<LogPosition> own;
  // No earlier leader acknowledged a position above this one; empty when no such bound is known.
  std::optional<LogPosition> inherited;
};

struct CandidateChoice {
  // Empty when no instance may be chosen yet; `reason` then says why.
  std::optional<replicas::PositionReply> chosen;
  WaitReason reason = WaitReason::kNone;
  // No further reply can lead to a better choice.
  bool all_answered = false;
};

// `replies` holds at most one reply of each instance, to a probe sent after acknowledgements were frozen. `excluded`
// is the primary when it has failed or its replication has stalled; its reply isn't considered. A commit is
// acknowledged only when the primary and another instance hold it. Thus among any n - 1 of n instances there is one
// that holds all acknowledged positions, and the most advanced one does.
CandidateChoice ChooseCandidate(const replicas::GroupRecord& record,
                                const std::vector<replicas::PositionReply>& replies, const AcknowledgedBounds& bounds,
                                const std::optional<EndpointName>& excluded);

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_
