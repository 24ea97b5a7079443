#include "core/leadership/placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace amaranthlane::leadership {

namespace {

std::uint64_t RendezvousHash(std::string_view key, const VmName& vm) {
  const XXH64_hash_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(vm.data(), vm.size(), seed);
}

std::size_t CountDataCentres(const std::vector<VmView>& vms) {
  std::set<std::string_view> data_centres;
  for (const VmView& vm : vms) {
    data_centres.insert(vm.data_centre);
  }
  return data_centres.size();
}

std::vector<VmView> OtherVms(const VmName& leader, const std::vector<VmView>& eligible, bool live) {
  std::vector<VmView> others;
  for (const VmView& vm : eligible) {
    if (vm.live == live && vm.vm != leader) {
      others.push_back(vm);
    }
  }
  return others;
}

// Picks the first `count` VMs of `order`, at most `limit` from each data centre.
std::vector<VmName> PickSpread(const std::vector<VmView>& order, std::size_t count, std::size_t limit) {
  std::vector<VmName> picked;
  std::map<std::string_view, std::size_t> per_data_centre;
  for (const VmView& vm : order) {
    if (picked.size() < count && per_data_centre[vm.data_centre] < limit) {
      ++per_data_centre[vm.data_centre];
      picked.push_back(vm.vm);
    }
  }
  return picked;
}

}  // namespace

std::vector<VmView> RendezvousOrder(std::string_view key, std::vector<VmView> vms) {
  std::vector<std::pair<std::uint64_t, std::size_t>> hashes;
  for (std::size_t index = 0; index < vms.size(); ++index) {
    hashes.emplace_back(RendezvousHash(key, vms[index].vm), index);
  }
  std::sort(hashes.rbegin(), hashes.rend());
  std::vector<VmView> order;
  order.reserve(vms.size());
  for (const auto& [hash, index] : hashes) {
    order.push_back(std::move(vms[index]));
  }
  return order;
}

std::vector<VmView> EligibleVms(const std::map<VmName, VmView>& vms, const std::string& region) {
  std::vector<VmView> in_region;
  std::vector<VmView> all;
  for (const auto& [name, vm] : vms) {
    if (vm.leaving) {
      continue;
    }
    all.push_back(vm);
    if (vm.region == region) {
      in_region.push_back(vm);
    }
  }
  return in_region.empty() ? all : in_region;
}

std::map<GroupName, VmName> PreferredLeaders(const std::vector<GroupView>& groups,
                                             const std::map<VmName, VmView>& vms) {
  std::map<std::string, std::vector<GroupName>> by_region;
  for (const GroupView& group : groups) {
    by_region[group.region].push_back(group.group);
  }
  std::map<GroupName, VmName> preferred;
  for (auto& [region, names] : by_region) {
    const std::vector<VmView> live = OtherVms("", EligibleVms(vms, region), /*live=*/true);
    if (live.empty()) {
      continue;
    }
    const std::size_t share = (names.size() + live.size() - 1) / live.size();
    std::map<VmName, std::size_t> load;
    std::sort(names.begin(), names.end());
    for (const GroupName& name : names) {
      const std::vector<VmView> order = RendezvousOrder(name, live);
      const auto below_share =
          std::find_if(order.begin(), order.end(), [&load, share](const VmView& vm) { return load[vm.vm] < share; });
      ++load[below_share->vm];
      preferred[name] = below_share->vm;
    }
  }
  return preferred;
}

std::vector<VmName> ChooseSuccessors(const GroupName& group, const VmName& leader, const std::vector<VmView>& eligible,
                                     const LeadershipSettings& settings) {
  std::vector<VmView> order = RendezvousOrder(group, OtherVms(leader, eligible, /*live=*/true));
  std::string leader_data_centre;
  for (const VmView& vm : eligible) {
    if (vm.vm == leader) {
      leader_data_centre = vm.data_centre;
    }
  }
  const auto elsewhere = std::find_if(order.begin(), order.end(), [&leader_data_centre](const VmView& vm) {
    return vm.data_centre != leader_data_centre;
  });
  if (elsewhere != order.end()) {
    std::rotate(order.begin(), elsewhere, elsewhere + 1);
  }
  return PickSpread(order, settings.successor_count, order.size());
}

std::vector<VmName> ChooseWitnesses(const VmName& leader, const std::vector<VmView>& eligible,
                                    const std::vector<VmName>& current, const LeadershipSettings& settings) {
  std::vector<VmName> witnesses;
  if (eligible.size() <= settings.all_witness_limit) {
    for (const VmView& vm : eligible) {
      const bool kept = std::find(current.begin(), current.end(), vm.vm) != current.end();
      if (vm.live || kept) {
        witnesses.push_back(vm.vm);
      }
    }
  } else {
    std::vector<VmView> order = RendezvousOrder(leader, OtherVms(leader, eligible, /*live=*/true));
    // A VM that is cut off sees too few others as live, and must not write a set of witnesses too small to survive a
    // failure.
    const std::vector<VmView> not_live = RendezvousOrder(leader, OtherVms(leader, eligible, /*live=*/false));
    if (order.size() < settings.witness_count) {
      order.insert(order.end(), not_live.begin(), not_live.end());
    }
    const std::size_t data_centres = std::max<std::size_t>(1, CountDataCentres(order));
    const std::size_t limit = (settings.witness_count + data_centres - 1) / data_centres;
    witnesses = PickSpread(order, settings.witness_count, limit);
    if (witnesses.size() < settings.witness_count) {
      // The VMs are too unevenly distributed over the data centres for the limit.
      witnesses = PickSpread(order, settings.witness_count, settings.witness_count);
    }
  }
  if (witnesses.empty()) {
    witnesses.push_back(leader);
  }
  std::sort(witnesses.begin(), witnesses.end());
  return witnesses;
}

}  // namespace amaranthlane::leadership
