#include "proxy/directory_change_log.h"

#include <algorithm>

namespace amaranthlane::proxy {

namespace {

// Removals beyond this number are dropped, oldest first. A peer that needs them gets the whole directory.
constexpr std::size_t kMaxRemovals = 1000;

}  // namespace

void DirectoryChangeLog::Append(const failover::EndpointDirectory& before, const failover::EndpointDirectory& after,
                                ObjectVersion revision) {
  if (!this->first_complete_revision) {
    this->first_complete_revision = revision;
    return;
  }
  for (const auto& [name, entry] : after) {
    const auto known = before.find(name);
    if (known == before.end() || known->second != entry) {
      this->change_revisions[name] = revision;
      this->removal_revisions.erase(name);
    }
  }
  for (const auto& [name, entry] : before) {
    if (after.count(name) == 0) {
      this->removal_revisions[name] = revision;
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
    this->first_complete_revision = std::max(*this->first_complete_revision, oldest->second);
    this->removal_revisions.erase(oldest);
  }
}

DirectoryUpdate DirectoryChangeLog::ChangesSince(ObjectVersion known, const DirectorySnapshot& now) const {
  if (!this->first_complete_revision || known == 0 || known < *this->first_complete_revision || known > now.revision) {
    return {0, now.revision, now.endpoints, {}, failover::DirectoryDigest(now.endpoints)};
  }
  DirectoryUpdate update{known, now.revision, {}, {}, failover::DirectoryDigest(now.endpoints)};
  for (const auto& [name, revision] : this->change_revisions) {
    const auto entry = now.endpoints.find(name);
    if (revision > known && entry != now.endpoints.end()) {
      update.endpoints.insert(*entry);
    }
  }
  for (const auto& [name, revision] : this->removal_revisions) {
    if (revision > known) {
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
