#ifndef AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_
#define AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_

#include <optional>
#include <vector>

#include "core/promotion/messages.h"
#include "core/replicas/group_record.h"
#include "core/replicas/position_answer.h"
#include "core/types.h"

// Chooses the instance that may become primary without losing an acknowledged position.
namespace amaranthlane::promotion {

// What is known of the positions that were acknowledged as replicated.
struct AcknowledgedBounds {
  // The highest position that this leader acknowledged itself.
  std::optional<LogPosition> own;
  // No earlier leader acknowledged a higher position than this; nothing when that isn't known.
  std::optional<LogPosition> inherited;
};

struct CandidateChoice {
  // Nothing when no instance may be chosen yet; `reason` then says why.
  std::optional<replicas::PositionAnswer> chosen;
  WaitReason reason = WaitReason::kNone;
  // No further answer can lead to a better choice.
  bool all_answered = false;
};

// `heard` holds at most one answer of each instance, to a probe sent after acknowledgements were frozen. `excluded` is
// the primary when it is gone; what it answers isn't considered. A commit is acknowledged only when the primary and
// another instance hold it, thus among any n - 1 of n instances there is one that holds all acknowledged positions, and
// then the most advanced does.
CandidateChoice ChooseCandidate(const replicas::GroupRecord& record,
                                const std::vector<replicas::PositionAnswer>& answers, const AcknowledgedBounds& bounds,
                                const std::optional<EndpointName>& excluded);

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_CANDIDATE_CHOICE_H_
