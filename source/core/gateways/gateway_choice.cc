#include "core/gateways/gateway_choice.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

#include "core/rendezvous.h"

namespace amaranthlane::gateways {

namespace {

// The share of an endpoint's connections that is divided among the VMs. The rest is a reserve for VMs that join, leave
// or briefly disagree about the fleet.
constexpr double kAllocatedShare = 0.9;
// With fewer connections to each endpoint than this, sessions of one VM wait for each other's transactions.
constexpr double kMinConnectionsPerVm = 1.9;
// Connections of a gateway to an endpoint where the number of connections limits the number of gateways.
constexpr double kConnectionsPerGateway = 3;
// Maximum connections of a gateway to an endpoint where the number of groups limits the number of gateways.
constexpr double kMaxConnectionsPerGateway = 8;
// With many groups, each VM is the gateway of about this many, or of more where each data centre needs a gateway.
constexpr double kTargetGroupsPerVm = 2.5;
// What a VM that doesn't tell its share of processors counts as, in millicores.
constexpr double kDefaultMillicores = 250;

// The score of a VM in weighted rendezvous hashing: of several VMs, each has the highest one as often as its weight
// says.
double Score(const std::string& key, const FleetVm& vm) {
  constexpr double kHashValues = 18446744073709551616.0;  // 2^64
  const double uniform = (static_cast<double>(RendezvousHash(key, vm.vm)) + 1) / (kHashValues + 2);
  const double weight =
      vm.processor_share.count == 0 ? kDefaultMillicores : static_cast<double>(vm.processor_share.count);
  return -weight / std::log(uniform);
}

}  // namespace

std::string FleetDigest(const std::vector<FleetVm>& fleet) {
  std::string text;
  for (const FleetVm& member : fleet) {
    text += member.vm + " " + member.relay_address + " " + std::to_string(member.processor_share.count) + "\n";
  }
  return std::to_string(RendezvousHash("fleet", text));
}

GatewayPlan PlanGateways(std::size_t connections, const FleetCounts& fleet) {
  const double allocated = static_cast<double>(connections) * kAllocatedShare;
  const double per_vm = allocated / static_cast<double>(std::max<std::size_t>(fleet.vms, 1));
  const bool few_groups = fleet.groups <= kMaxGroupsServedByEveryVm;
  if ((per_vm >= kMinConnectionsPerVm && few_groups) || fleet.vms <= 1) {
    return {0, std::max<std::size_t>(1, static_cast<std::size_t>(per_vm))};
  }
  const double gateways_for_data_centres = std::min(allocated, static_cast<double>(fleet.data_centres));
  const double gateways_for_connections = allocated / kConnectionsPerGateway;
  const double gateways_for_groups = std::ceil(kTargetGroupsPerVm * static_cast<double>(fleet.vms) /
                                               static_cast<double>(std::max<std::size_t>(fleet.groups, 1)));
  const auto needed = static_cast<std::size_t>(
      std::max({1.0, gateways_for_data_centres, std::min(gateways_for_connections, gateways_for_groups)}));
  const std::size_t gateways = std::min(needed, fleet.vms);
  const double max_per_gateway =
      gateways_for_groups < gateways_for_connections ? kMaxConnectionsPerGateway : kConnectionsPerGateway;
  const double per_gateway = std::clamp(allocated / static_cast<double>(gateways), 1.0, max_per_gateway);
  return {gateways, static_cast<std::size_t>(per_gateway)};
}

std::vector<FleetVm> ChooseGateways(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count) {
  using ScoredVm = std::pair<double, const FleetVm*>;
  std::map<std::string_view, std::vector<ScoredVm>> by_data_centre;
  for (const FleetVm& member : fleet) {
    by_data_centre[member.data_centre].emplace_back(Score(group, member), &member);
  }
  // The number of gateways by data centre. If the total exceeds `count`, the data centres with the most gateways give
  // up the excess.
  std::map<std::string_view, std::size_t> gateways_by_data_centre;
  std::size_t total = 0;
  for (const auto& [data_centre, members] : by_data_centre) {
    const double share = static_cast<double>(members.size()) / static_cast<double>(fleet.size());
    gateways_by_data_centre[data_centre] =
        static_cast<std::size_t>(std::max(1.0, std::floor(share * static_cast<double>(count))));
    total += gateways_by_data_centre[data_centre];
  }
  for (; total > count; --total) {
    --std::max_element(gateways_by_data_centre.begin(), gateways_by_data_centre.end(),
                       [](const auto& left, const auto& right) { return left.second < right.second; })
          ->second;
  }
  std::vector<FleetVm> chosen;
  for (auto& [data_centre, members] : by_data_centre) {
    const auto end = members.begin() +
                     static_cast<std::ptrdiff_t>(std::min(members.size(), gateways_by_data_centre.at(data_centre)));
    std::partial_sort(members.begin(), end, members.end(),
                      [](const ScoredVm& left, const ScoredVm& right) { return left.first > right.first; });
    std::for_each(members.begin(), end, [&chosen](const ScoredVm& member) { chosen.push_back(*member.second); });
  }
  return chosen;
}

std::vector<FleetVm> OrderForOrganisation(const OrganisationName& organisation, const std::string& data_centre,
                                          std::vector<FleetVm> gateways) {
  const auto preference = [&](const FleetVm& gateway) {
    return std::make_pair(gateway.data_centre == data_centre, Score(organisation, gateway));
  };
  std::sort(gateways.begin(), gateways.end(),
            [&](const FleetVm& left, const FleetVm& right) { return preference(left) > preference(right); });
  return gateways;
}

}  // namespace amaranthlane::gateways
