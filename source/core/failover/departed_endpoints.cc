#include "core/failover/departed_endpoints.h"

#include <algorithm>

namespace amaranthlane::failover {

void DepartedEndpoints::Update(const EndpointDirectory& directory,
                               const std::map<GroupName, std::uint64_t>& synchronous_replicas, TimePoint now) {
  const auto synchronous = [&synchronous_replicas](const EndpointEntry& entry) {
    const auto found = synchronous_replicas.find(entry.group);
    return found != synchronous_replicas.end() && found->second > 0;
  };
  for (const auto& [name, entry] : this->known) {
    if (directory.count(name) == 0) {
      this->departed.try_emplace(name, Departed{entry, now});
    }
  }
  this->known.clear();
  for (const auto& [name, entry] : directory) {
    if (synchronous(entry)) {
      this->known.emplace(name, entry);
    }
  }
  std::erase_if(this->departed, [&](const auto& gone) {
    const EndpointEntry& former = gone.second.entry;
    const bool back = std::any_of(this->known.begin(), this->known.end(), [&former](const auto& present) {
      return present.second.group == former.group &&
             (present.first == former.name || present.second.address == former.address);
    });
    return back || !synchronous(former);
  });
}

void DepartedEndpoints::OnPositionReached(const GroupName& group, TimePoint queried_at) {
  std::erase_if(this->departed,
                [&](const auto& gone) { return gone.second.entry.group == group && gone.second.since <= queried_at; });
}

std::vector<EndpointName> DepartedEndpoints::Of(const GroupName& group) const {
  std::vector<EndpointName> names;
  for (const auto& [name, gone] : this->departed) {
    if (gone.entry.group == group) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace amaranthlane::failover
