#include "core/configuration/relay_selection.h"

#include <algorithm>
#include <cstdint>

#include "core/rendezvous.h"

namespace amaranthlane::configuration {

namespace {

struct Candidate {
  std::uint64_t weight = 0;
  const VmName* vm = nullptr;
};

bool Outranks(const Candidate& left, const Candidate& right) {
  return left.weight != right.weight ? left.weight > right.weight : *left.vm < *right.vm;
}

}  // namespace

std::vector<VmName> SelectRelays(std::span<const Member> members, std::string_view data_centre) {
  std::vector<Candidate> candidates;
  for (const Member& member : members) {
    if (member.data_centre == data_centre) {
      candidates.push_back({RendezvousHash(data_centre, member.vm), &member.vm});
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
