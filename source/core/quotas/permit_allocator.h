#ifndef AMARANTHLANE_CORE_QUOTAS_PERMIT_ALLOCATOR_H_
#define AMARANTHLANE_CORE_QUOTAS_PERMIT_ALLOCATOR_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/access/organisation_name.h"
#include "core/quotas/permit_messages.h"
#include "core/quotas/rate_limit.h"
#include "core/quotas/token_bucket.h"
#include "core/types.h"

namespace amaranthlane::quotas {

using RateLimits = std::map<OrganisationName, RateLimit>;

// A member's part in rate limits: it allocates an equal share of each organisation's limit to the VMs that ask for
// permits. All members that may allocate at one time have shares that sum up to the limit at most. Used on one thread.
class PermitAllocator {
 public:
  // The limits of the configuration in force.
  void SetLimits(const RateLimits& limits, TimePoint now);
  // The number of equal shares into which the limits are divided; none: this VM may not allocate. To be called whenever
  // that may have changed, and before Allocate(). A VM that couldn't allocate before begins with nothing to allocate.
  void SetShareCount(std::optional<std::size_t> share_count, TimePoint now);

  // Grants what is left of this VM's shares; nothing before the first limits are known, as every request would be
  // granted without them. An organisation without a limit in this VM's configuration gets what it asks for: the VM that
  // asks has another version, and a limit counts only once all VMs have it.
  PermitReply Allocate(const PermitRequest& request, TimePoint now);

 private:
  struct Share {
    TokenBucket bucket;
    // When the operation that was refused last may expect a permit.
    TimePoint last_retry_at;
  };

  // The rate and the capacity of this VM's bucket for a limit.
  RateLimit OwnShare(const RateLimit& limit) const;
  // Takes up to `count` tokens, and tells when the missing ones may be expected.
  PermitGrant AllocateFrom(Share& share, const RateLimit& limit, std::uint64_t count, TimePoint now) const;

  // None before the first configuration.
  std::optional<RateLimits> limits;
  std::optional<std::size_t> share_count;
  std::map<OrganisationName, Share> shares;
};

}  // namespace amaranthlane::quotas

#endif  // AMARANTHLANE_CORE_QUOTAS_PERMIT_ALLOCATOR_H_
