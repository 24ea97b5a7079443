#include "core/promotion/acknowledgement_guard.h"

#include <algorithm>

namespace amaranthlane::promotion {

void AcknowledgementGuard::Freeze() { this->frozen = true; }

void AcknowledgementGuard::Unfreeze(Term term) {
  this->frozen = false;
  this->term = term;
}

bool AcknowledgementGuard::IsFrozen() const { return this->frozen; }

bool AcknowledgementGuard::MayAcknowledge(Term term, const LogPosition& position) {
  if (this->frozen || term != this->term || position.term > term) return false;
  this->bounds.own = std::max(this->bounds.own.value_or(position), position);
  return true;
}

void AcknowledgementGuard::SetInheritedBound(const LogPosition& position) {
  if (!this->bounds.inherited) this->bounds.inherited = position;
}

void AcknowledgementGuard::ClearInheritedBound() { this->bounds.inherited.reset(); }

const AcknowledgedBounds& AcknowledgementGuard::Bounds() const { return this->bounds; }

}  // namespace amaranthlane::promotion
