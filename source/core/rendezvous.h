#ifndef AMARANTHLANE_CORE_RENDEZVOUS_H_
#define AMARANTHLANE_CORE_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

namespace amaranthlane {

// The weight of `name` for `key` in rendezvous hashing: VMs that know the same names choose the same ones, and a change
// of one name changes few choices.
std::uint64_t RendezvousHash(std::string_view key, std::string_view name);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_CORE_RENDEZVOUS_H_
