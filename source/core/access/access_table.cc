#include "core/access/access_table.h"

#include <utility>

namespace amaranthlane::access {

bool AccessTable::Add(const OrganisationName& name, Organisation organisation) {
  this->RequireKeys();
  bool unambiguous = true;
  for (const KeyDigest& key : organisation.keys) {
    const auto [known, added] = this->organisation_by_key.emplace(key, name);
    if (!added && known->second != name) {
      known->second.clear();
      unambiguous = false;
    }
  }
  this->organisations.emplace(name, std::move(organisation));
  return unambiguous;
}

void AccessTable::RequireKeys() { this->requires_keys = true; }

bool AccessTable::RequiresKeys() const { return this->requires_keys; }

AccessDecision AccessTable::Authorize(const std::optional<KeyDigest>& key, bool public_route) const {
  const auto known = key ? this->organisation_by_key.find(*key) : this->organisation_by_key.end();
  const OrganisationName organisation = known == this->organisation_by_key.end() ? OrganisationName() : known->second;
  return {!this->requires_keys || public_route || !organisation.empty(), organisation};
}

const std::map<OrganisationName, Organisation>& AccessTable::Organisations() const { return this->organisations; }

const quotas::RateLimit* AccessTable::FindRateLimit(const OrganisationName& name) const {
  const auto found = this->organisations.find(name);
  return found == this->organisations.end() || !found->second.rate_limit ? nullptr : &*found->second.rate_limit;
}

}  // namespace amaranthlane::access
