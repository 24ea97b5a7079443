#ifndef AMARANTHLANE_CORE_REPLICAS_TERM_HISTORY_H_
#define AMARANTHLANE_CORE_REPLICAS_TERM_HISTORY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/replicas/group_record.h"
#include "core/types.h"

// Tells whether the log of the current term holds a position of an older one.
namespace amaranthlane::replicas {

enum class Coverage : std::uint8_t {
  // The current primary's log holds the position.
  kCovered,
  // It doesn't, and never will.
  kLost,
  // The known history is too short to tell.
  kUnknown,
};

// The bases of the latest terms. Each is known exactly, or only from below.
class TermHistory {
 public:
  // Takes the bases that the group's record keeps, each known from below.
  void AddLowerBounds(const std::vector<TermBase>& bases);
  // Sets the base of a term exactly: seen at its primary after configuration and before any write in the term.
  void SetExactBase(TermBase base);
  // Whether the log of `current` holds `position`. A position of a term above `current` is unknown.
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
