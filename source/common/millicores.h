#ifndef AMARANTHLANE_COMMON_MILLICORES_H_
#define AMARANTHLANE_COMMON_MILLICORES_H_

#include <cstdint>

namespace amaranthlane {

// A share of processors, in thousandths of a core. 0: unknown.
struct Millicores {
  std::uint64_t count = 0;

  bool operator==(const Millicores&) const = default;
};

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_MILLICORES_H_
