#ifndef AMARANTHLANE_CORE_REPLICAS_TERM_HISTORY_H_
#define AMARANTHLANE_CORE_REPLICAS_TERM_HISTORY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/replicas/group_record.h"
#include "core/types.h"

// Determines whether the log of the current term holds a position of an older term.
namespace amaranthlane::replicas {

enum class Coverage : std::uint8_t {
  // The current primary's log holds the position.
  kCovered,
  // The current primary's log doesn't hold the position, and never will.
  kLost,
  // The known history is too short to tell.
  kUnknown,
};

// The bases of the latest terms. Each is known exactly, or as a lower bound.
class TermHistory {
 public:
  // Adds the bases that the group's record keeps. Each is a lower bound.
  void AddLowerBounds(const std::vector<TermBase>& bases);
  // Sets the exact base of a term: observed at its primary after configuration and before any write in the term.
  void SetExactBase(TermBase base);
  // Whether the log of `current` holds `position`. Unknown for a position of a term above `current`.
  Coverage CoverageOf(const LogPosition& position, Term current) const;

 private:
  struct Entry {
    LogPosition base;
    bool exact = false;
  };

  std::map<Term, Entry> entries;
};

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_TERM_HISTORY_H_
