#include "core/carriers/carrier_choice.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

#include "core/rendezvous.h"

namespace amaranthlane::carriers {

namespace {

// The share of an endpoint's connections that is divided; the rest is for VMs that come, go or disagree for a moment.
constexpr double kDividedShare = 0.9;
// Fewer connections to each endpoint than this make sessions of one VM wait for each other's transactions.
constexpr double kLeastOwnConnections = 1.9;
constexpr double kCarrierConnections = 3;
// The same where a group has few carriers because there are many groups.
constexpr double kMostCarrierConnections = 8;
// With many groups, about so many for each VM to carry; more where each data centre needs a carrier.
constexpr double kGroupsCarried = 2.5;

}  // namespace

std::string FleetDigest(const std::vector<FleetVm>& fleet) {
  std::string text;
  for (const FleetVm& member : fleet) {
    text += member.vm + " " + member.relay_address + "\n";
  }
  return std::to_string(RendezvousHash("fleet", text));
}

CarrierPlan PlanCarriers(std::size_t connections, const FleetShape& fleet) {
  const double divided = static_cast<double>(connections) * kDividedShare;
  const double own = divided / static_cast<double>(std::max<std::size_t>(fleet.vms, 1));
  const bool few_groups = fleet.groups <= kGroupsServedEverywhere;
  if ((own >= kLeastOwnConnections && few_groups) || fleet.vms <= 1) {
    return {0, std::max<std::size_t>(1, static_cast<std::size_t>(own))};
  }
  const double near_everyone = std::min(divided, static_cast<double>(fleet.data_centres));
  const double by_connections = divided / kCarrierConnections;
  const double by_groups = std::ceil(kGroupsCarried * static_cast<double>(fleet.vms) /
                                     static_cast<double>(std::max<std::size_t>(fleet.groups, 1)));
  const auto wanted = static_cast<std::size_t>(std::max({1.0, near_everyone, std::min(by_connections, by_groups)}));
  const std::size_t carriers = std::min(wanted, fleet.vms);
  const double most = by_groups < by_connections ? kMostCarrierConnections : kCarrierConnections;
  const double each = std::clamp(divided / static_cast<double>(carriers), 1.0, most);
  return {carriers, static_cast<std::size_t>(each)};
}

std::vector<FleetVm> ChooseCarriers(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count) {
  using Ranked = std::pair<std::uint64_t, const FleetVm*>;
  std::map<std::string_view, std::vector<Ranked>> by_data_centre;
  for (const FleetVm& member : fleet) {
    by_data_centre[member.data_centre].emplace_back(RendezvousHash(group, member.vm), &member);
  }
  // By data centre, how many carriers; the largest ones give up what is too much.
  std::map<std::string_view, std::size_t> wanted;
  std::size_t all = 0;
  for (const auto& [data_centre, members] : by_data_centre) {
    const double share = static_cast<double>(members.size()) / static_cast<double>(fleet.size());
    wanted[data_centre] = static_cast<std::size_t>(std::max(1.0, std::floor(share * static_cast<double>(count))));
    all += wanted[data_centre];
  }
  for (; all > count; --all) {
    --std::max_element(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
      })->second;
  }
  std::vector<FleetVm> chosen;
  for (auto& [data_centre, members] : by_data_centre) {
    const auto end = members.begin() + static_cast<std::ptrdiff_t>(std::min(members.size(), wanted.at(data_centre)));
    std::partial_sort(members.begin(), end, members.end(),
                      [](const Ranked& left, const Ranked& right) { return left.first > right.first; });
    std::for_each(members.begin(), end, [&chosen](const Ranked& member) { chosen.push_back(*member.second); });
  }
  return chosen;
}

}  // namespace amaranthlane::carriers
