#ifndef AMARANTHLANE_CORE_ACCESS_ACCESS_TABLE_H_
#define AMARANTHLANE_CORE_ACCESS_ACCESS_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/access/api_key.h"
#include "core/access/organisation_name.h"
#include "core/quotas/rate_limit.h"
#include "core/types.h"

namespace amaranthlane::access {

// A customer whose callers share API keys, connections to endpoints and a rate limit.
struct Organisation {
  std::set<KeyDigest> keys;
  // None: unlimited.
  std::optional<quotas::RateLimit> rate_limit;

  bool operator==(const Organisation&) const = default;
};

// Whether a caller may use a route, and on behalf of which organisation.
struct AccessDecision {
  bool allowed = false;
  // Empty: none.
  OrganisationName organisation;
};

// The organisations of the configuration and the API keys that identify their callers. Unless keys are required, any
// caller may use any route.
class AccessTable {
 public:
  // Adds an organisation, whose name must be new. A key that another organisation holds as well identifies neither of
  // them; returns false then.
  bool Add(const OrganisationName& name, Organisation organisation);
  // From now on callers need a key of some organisation, even if there is no organisation yet.
  void RequireKeys();

  bool RequiresKeys() const;
  // A route that isn't public may be used only with a key that identifies an organisation. `key` is none if the caller
  // gave none.
  AccessDecision Authorize(const std::optional<KeyDigest>& key, bool public_route) const;

  const std::map<OrganisationName, Organisation>& Organisations() const;
  // The rate limit of an organisation; null if there is no such organisation or it is unlimited.
  const quotas::RateLimit* FindRateLimit(const OrganisationName& name) const;

  bool operator==(const AccessTable&) const = default;

 private:
  bool requires_keys = false;
  std::map<OrganisationName, Organisation> organisations;
  // The organisation that each key identifies; empty for a key of several organisations, which identifies none.
  std::map<KeyDigest, OrganisationName> organisation_by_key;
};

}  // namespace amaranthlane::access

#endif  // AMARANTHLANE_CORE_ACCESS_ACCESS_TABLE_H_
