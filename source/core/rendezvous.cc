#include "core/rendezvous.h"

#include <xxhash.h>

namespace amaranthlane {

std::uint64_t RendezvousHash(std::string_view key, std::string_view name) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

}  // namespace amaranthlane
