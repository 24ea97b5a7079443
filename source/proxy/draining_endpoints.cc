#include "proxy/draining_endpoints.h"

namespace amaranthlane::proxy {

void DrainingEndpoints::OnRestore(const failover::EndpointDirectory& before,
                                  const failover::EndpointDirectory& restored) {
  this->restored_entries.clear();
  for (const auto& [name, entry] : restored) {
    const auto known = before.find(name);
    const bool had_begun =
        known != before.end() && known->second.draining && known->second.incarnation == entry.incarnation;
    if (had_begun && !entry.draining) {
      this->restored_entries.emplace(name, entry);
    }
  }
}

failover::EndpointDirectory DrainingEndpoints::Apply(const failover::EndpointDirectory& directory) {
  failover::EndpointDirectory result = directory;
  std::erase_if(this->restored_entries, [&directory](const auto& restored) {
    const auto current = directory.find(restored.first);
    return current == directory.end() || current->second != restored.second;
  });
  for (const auto& [name, entry] : this->restored_entries) {
    result.at(name).draining = true;
  }
  return result;
}

}  // namespace amaranthlane::proxy
