#ifndef AMARANTHLANE_CORE_COORDINATION_QUORUM_H_
#define AMARANTHLANE_CORE_COORDINATION_QUORUM_H_

#include <cstddef>

// How many grants make up a lease, and how many refusals prevent every lease.
namespace amaranthlane::coordination {

// From this number of members on, one of them may be silent without ending any lease.
constexpr std::size_t kMinMembersToTolerateOneMissing = 4;

// The number of members whose grants make up a lease.
constexpr std::size_t LeaseQuorum(std::size_t members) {
  return members < kMinMembersToTolerateOneMissing ? members : members - 1;
}

// If this number of members refuse, no VM can obtain the grants that it needs.
constexpr std::size_t BlockingQuorum(std::size_t members) { return members - LeaseQuorum(members) + 1; }

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_QUORUM_H_
