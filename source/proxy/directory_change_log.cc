#include "proxy/directory_change_log.h"

#include <algorithm>

namespace amaranthlane::proxy {

namespace {

// Removals beyond this number are dropped, oldest first. A peer that needs them gets the whole directory.
constexpr std::size_t kMaxRemovals = 1000;

}  // namespace

void DirectoryChangeLog::Append(const failover::EndpointDirectory& before, const failover::EndpointDirectory& after,
                                const StoreRevision& revision) {
  if (!this->first_complete || this->first_complete->era != revision.era) {
    this->first_complete = revision;
    this->change_revisions.clear();
    this->removal_revisions.clear();
    return;
  }
  for (const auto& [name, entry] : after) {
    const auto known = before.find(name);
    if (known == before.end() || known->second != entry) {
      this->change_revisions[name] = revision.revision;
      this->removal_revisions.erase(name);
    }
  }
  for (const auto& [name, entry] : before) {
    if (after.count(name) == 0) {
      this->removal_revisions[name] = revision.revision;
      this->change_revisions.erase(name);
    }
  }
  this->TrimRemovals();
}

void DirectoryChangeLog::TrimRemovals() {
  while (this->removal_revisions.size() > kMaxRemovals) {
    const auto oldest =
        std::min_element(this->removal_revisions.begin(), this->removal_revisions.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    this->first_complete->revision = std::max(this->first_complete->revision, oldest->second);
    this->removal_revisions.erase(oldest);
  }
}

DirectoryUpdate DirectoryChangeLog::ChangesSince(const StoreRevision& known, const DirectorySnapshot& now) const {
  const bool covered = this->first_complete && known.revision > 0 && known.era == now.revision.era &&
                       known >= *this->first_complete && known <= now.revision;
  if (!covered) {
    return {0, now.revision, now.endpoints, {}, failover::DirectoryDigest(now.endpoints)};
  }
  DirectoryUpdate update{known.revision, now.revision, {}, {}, failover::DirectoryDigest(now.endpoints)};
  for (const auto& [name, revision] : this->change_revisions) {
    const auto entry = now.endpoints.find(name);
    if (revision > known.revision && entry != now.endpoints.end()) {
      update.endpoints.insert(*entry);
    }
  }
  for (const auto& [name, revision] : this->removal_revisions) {
    if (revision > known.revision) {
      update.removed.push_back(name);
    }
  }
  return update;
}

std::optional<DirectorySnapshot> ApplyUpdate(const DirectoryUpdate& update, const DirectorySnapshot& own) {
  DirectorySnapshot result{update.revision, {}, 0};
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
