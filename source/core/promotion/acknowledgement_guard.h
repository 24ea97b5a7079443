#ifndef AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_
#define AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_

#include "core/promotion/candidate_choice.h"
#include "core/types.h"

// Decides whether an answer may be passed on as an acknowledgement, and remembers what was.
namespace amaranthlane::promotion {

// Starts frozen.
class AcknowledgementGuard {
 public:
  void Freeze();
  // Answers of the primary of `term` are acknowledgements from now on.
  void Unfreeze(Term term);
  bool Frozen() const;
  // True when a commit at `position` under `term` may be acknowledged; it is then counted as acknowledged.
  bool MayAcknowledge(Term term, const LogPosition& position);
  // No earlier leader acknowledged more than `position`. Kept unless a bound is known.
  void SetInheritedBound(const LogPosition& position);
  // Another leader's change of primary came to light: what earlier leaders acknowledged isn't bounded any more.
  void ClearInheritedBound();
  const AcknowledgedBounds& Bounds() const;

 private:
  bool frozen = true;
  Term term = 0;
  AcknowledgedBounds bounds;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_ACKNOWLEDGEMENT_GUARD_H_
