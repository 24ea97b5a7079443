#include "core/configuration/relay_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace amaranthlane::configuration {

namespace {

struct Candidate {
  std::uint64_t weight = 0;
  const VmName* vm = nullptr;
};

// Rendezvous hashing: every VM has a weight of its own for the data centre, and the greatest weights win.
std::uint64_t WeightOf(const VmName& vm, std::string_view data_centre) {
  const std::uint64_t seed = XXH3_64bits(data_centre.data(), data_centre.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
}

bool Outranks(const Candidate& left, const Candidate& right) {
  return left.weight != right.weight ? left.weight > right.weight : *left.vm < *right.vm;
}

}  // namespace

std::vector<VmName> SelectRelays(std::span<const Member> members, std::string_view data_centre) {
  std::vector<Candidate> candidates;
  for (const Member& member : members) {
    if (member.data_centre == data_centre) {
      candidates.push_back({WeightOf(member.vm, data_centre), &member.vm});
    }
  }
  std::sort(candidates.begin(), candidates.end(), Outranks);
  candidates.resize(std::min(candidates.size(), kRelaysPerDataCentre));
  std::vector<VmName> relays;
  for (const Candidate& candidate : candidates) {
    relays.push_back(*candidate.vm);
  }
  return relays;
}

}  // namespace amaranthlane::configuration
