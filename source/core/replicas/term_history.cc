#include "core/replicas/term_history.h"

namespace amaranthlane::replicas {

void TermHistory::AddLowerBounds(const std::vector<TermBase>& bases) {
  for (const TermBase& base : bases) {
    Entry& entry = this->entries[base.term];
    if (!entry.exact) entry.base = base.base;
  }
}

void TermHistory::SetExactBase(TermBase base) { this->entries[base.term] = Entry{.base = base.base, .exact = true}; }

Coverage TermHistory::CoverageOf(const LogPosition& position, Term current) const {
  if (position.term == current || position.offset == 0) return Coverage::kCovered;
  if (position.term > current) return Coverage::kUnknown;
  // Follows the current log back through the terms whose bases are known.
  Term term = current;
  while (true) {
    const auto found = this->entries.find(term);
    if (found == this->entries.end()) return Coverage::kUnknown;
    const Entry& entry = found->second;
    if (entry.base.term == position.term && position.offset <= entry.base.offset) return Coverage::kCovered;
    // The true base may lie above a lower bound: further into the position's term, or in a later one.
    if (entry.base.term <= position.term) return entry.exact ? Coverage::kLost : Coverage::kUnknown;
    term = entry.base.term;
  }
}

}  // namespace amaranthlane::replicas
