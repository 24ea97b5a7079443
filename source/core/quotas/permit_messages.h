#ifndef AMARANTHLANE_CORE_QUOTAS_PERMIT_MESSAGES_H_
#define AMARANTHLANE_CORE_QUOTAS_PERMIT_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "core/access/organisation_name.h"
#include "core/types.h"

// The messages by which VMs ask members for permits to run operations, and by which members answer.
namespace amaranthlane::quotas {

// The path of a request for permits. Both sides must use the same one: a VM that doesn't know it is taken for one of an
// earlier build, and operations are admitted.
inline constexpr char kPermitTarget[] = "/peer/quota";

// The permits that a VM needs for operations that wait now.
struct PermitRequest {
  std::map<OrganisationName, std::uint64_t> counts;

  bool operator==(const PermitRequest&) const = default;
};

struct PermitGrant {
  std::uint64_t granted = 0;
  // When fewer were granted than asked for: how long until the member has a permit for one of the others.
  std::chrono::milliseconds retry_after{};
  // In the same case: how long the member takes to gain one permit.
  std::chrono::milliseconds interval{};

  bool operator==(const PermitGrant&) const = default;
};

struct PermitReply {
  // False: the member may not allocate now, and has granted nothing.
  bool allocating = false;
  std::map<OrganisationName, PermitGrant> grants;

  bool operator==(const PermitReply&) const = default;
};

nlohmann::json ToJson(const PermitRequest& request);
nlohmann::json ToJson(const PermitReply& reply);
// Throw ParseError.
PermitRequest ParsePermitRequest(const nlohmann::json& document);
PermitReply ParsePermitReply(const nlohmann::json& document);

}  // namespace amaranthlane::quotas

#endif  // AMARANTHLANE_CORE_QUOTAS_PERMIT_MESSAGES_H_
