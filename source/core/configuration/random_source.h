#ifndef AMARANTHLANE_CORE_CONFIGURATION_RANDOM_SOURCE_H_
#define AMARANTHLANE_CORE_CONFIGURATION_RANDOM_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <random>

#include "common/boot_clock.h"

namespace amaranthlane::configuration {

// Random delays and choices from a generator with a given seed, so that a run can be repeated.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : generator(seed) {}

  // Returns a time from zero to `bound`, both inclusive.
  Duration DelayUpTo(Duration bound) {
    return Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(this->generator));
  }

  // Returns a number below `count`, which must not be 0.
  std::size_t IndexBelow(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->generator);
  }

 private:
  std::mt19937_64 generator;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_RANDOM_SOURCE_H_
