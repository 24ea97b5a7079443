#include "core/carriers/carrier_choice.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "core/rendezvous.h"

namespace amaranthlane::carriers {

namespace {

// The share of an endpoint's connections that is divided; the rest is for VMs that come, go or disagree for a moment.
constexpr double kDividedShare = 0.9;
// Fewer connections to each endpoint than this make sessions of one VM wait for each other's transactions.
constexpr double kLeastOwnConnections = 1.9;
constexpr double kCarrierConnections = 3;

}  // namespace

std::string FleetDigest(const std::vector<FleetVm>& fleet) {
  std::string text;
  for (const FleetVm& member : fleet) {
    text += member.vm + " " + member.relay_address + "\n";
  }
  return std::to_string(RendezvousHash("fleet", text));
}

CarrierPlan PlanCarriers(std::size_t connections, std::size_t fleet, std::size_t data_centres) {
  const double divided = static_cast<double>(connections) * kDividedShare;
  const double own = divided / static_cast<double>(std::max<std::size_t>(fleet, 1));
  if (own >= kLeastOwnConnections || fleet <= 1) {
    return {0, std::max<std::size_t>(1, static_cast<std::size_t>(own))};
  }
  const double near_everyone = std::min(divided, static_cast<double>(data_centres));
  const auto wanted = static_cast<std::size_t>(std::max({1.0, near_everyone, divided / kCarrierConnections}));
  const std::size_t carriers = std::min(wanted, fleet);
  const double each = std::clamp(divided / static_cast<double>(carriers), 1.0, kCarrierConnections);
  return {carriers, static_cast<std::size_t>(each)};
}

std::vector<FleetVm> ChooseCarriers(const GroupName& group, const std::vector<FleetVm>& fleet, std::size_t count) {
  std::map<std::string, std::vector<FleetVm>> by_data_centre;
  for (const FleetVm& member : fleet) {
    by_data_centre[member.data_centre].push_back(member);
  }
  // By data centre, how many carriers; the largest ones give up what is too much.
  std::map<std::string, std::size_t> wanted;
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
    std::sort(members.begin(), members.end(), [&group](const FleetVm& left, const FleetVm& right) {
      return RendezvousHash(group, left.vm) > RendezvousHash(group, right.vm);
    });
    members.resize(std::min(members.size(), wanted.at(data_centre)));
    chosen.insert(chosen.end(), members.begin(), members.end());
  }
  return chosen;
}

}  // namespace amaranthlane::carriers
