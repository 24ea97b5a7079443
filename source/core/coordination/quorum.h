#ifndef AMARANTHLANE_CORE_COORDINATION_QUORUM_H_
#define AMARANTHLANE_CORE_COORDINATION_QUORUM_H_

#include <cstddef>

// How many members must promise, and how many refusals end all rights.
namespace amaranthlane::coordination {

// From so many members on, one of them may be silent without ending anybody's right.
constexpr std::size_t kMinMembersToTolerateOneMissing = 4;

// Of so many members, how many must promise before a VM may use a primary.
constexpr std::size_t LeaseQuorum(std::size_t members) {
  return members < kMinMembersToTolerateOneMissing ? members : members - 1;
}

// Once so many members refuse, no VM can have the promises that it needs.
constexpr std::size_t BlockingQuorum(std::size_t members) { return members - LeaseQuorum(members) + 1; }

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_QUORUM_H_
