#ifndef AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_
#define AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_

#include "core/promotion/candidate_choice.h"
#include "core/types.h"

// Decides whether a reply may be returned as an acknowledgement, and remembers the highest position acknowledged.
namespace amaranthlane::promotion {

// Starts frozen.
class AcknowledgementGuard {
 public:
  void Freeze();
  // From now on replies of the primary of `term` may be returned as acknowledgements.
  void Unfreeze(Term term);
  bool IsFrozen() const;
  // Returns true when a commit at `position` under `term` may be acknowledged, and then counts it as acknowledged.
  bool MayAcknowledge(Term term, const LogPosition& position);
  // Sets the bound that no earlier leader acknowledged a position above `position`. Has no effect when a bound is
  // already set.
  void SetInheritedBound(const LogPosition& position);
  // Drops the bound on what earlier leaders acknowledged, because another leader's change of primary was observed.
  void ClearInheritedBound();
  const AcknowledgedBounds& Bounds() const;

 private:
  bool frozen = true;
  Term term = 0;
  AcknowledgedBounds bounds;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_
