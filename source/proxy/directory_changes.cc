#include "proxy/directory_changes.h"

#include <algorithm>

namespace amaranthlane::proxy {

namespace {

// More removals are forgotten, the oldest first; who needs them reads the whole directory.
constexpr std::size_t kRemovalsRemembered = 1000;

}  // namespace

void DirectoryChanges::Note(const failover::EndpointDirectory& before, const failover::EndpointDirectory& after,
                            ObjectVersion revision) {
  if (!this->complete_from) {
    this->complete_from = revision;
    return;
  }
  for (const auto& [name, entry] : after) {
    const auto known = before.find(name);
    if (known == before.end() || known->second != entry) {
      this->changed[name] = revision;
      this->removed.erase(name);
    }
  }
  for (const auto& [name, entry] : before) {
    if (after.count(name) == 0) {
      this->removed[name] = revision;
      this->changed.erase(name);
    }
  }
  this->Forget();
}

void DirectoryChanges::Forget() {
  while (this->removed.size() > kRemovalsRemembered) {
    const auto oldest =
        std::min_element(this->removed.begin(), this->removed.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    this->complete_from = std::max(*this->complete_from, oldest->second);
    this->removed.erase(oldest);
  }
}

DirectoryUpdate DirectoryChanges::Since(ObjectVersion known, const KnownDirectory& now) const {
  if (!this->complete_from || known == 0 || known < *this->complete_from || known > now.revision) {
    return {0, now.revision, now.endpoints, {}, failover::DirectoryDigest(now.endpoints)};
  }
  DirectoryUpdate update{known, now.revision, {}, {}, failover::DirectoryDigest(now.endpoints)};
  for (const auto& [name, revision] : this->changed) {
    const auto entry = now.endpoints.find(name);
    if (revision > known && entry != now.endpoints.end()) {
      update.endpoints.insert(*entry);
    }
  }
  for (const auto& [name, revision] : this->removed) {
    if (revision > known) {
      update.removed.push_back(name);
    }
  }
  return update;
}

std::optional<KnownDirectory> Apply(const DirectoryUpdate& update, const KnownDirectory& own) {
  KnownDirectory result{update.revision, {}};
  if (update.base > 0) {
    result.endpoints = own.endpoints;
  }
  for (const EndpointName& name : update.removed) {
    result.endpoints.erase(name);
  }
  for (const auto& [name, entry] : update.endpoints) {
    result.endpoints[name] = entry;
  }
  if (failover::DirectoryDigest(result.endpoints) != update.digest) {
    return std::nullopt;
  }
  return result;
}

}  // namespace amaranthlane::proxy
