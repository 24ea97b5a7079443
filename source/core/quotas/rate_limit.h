#ifndef AMARANTHLANE_CORE_QUOTAS_RATE_LIMIT_H_
#define AMARANTHLANE_CORE_QUOTAS_RATE_LIMIT_H_

#include <chrono>

namespace amaranthlane::quotas {

// In any window of this length an organisation may run operations_per_second * window + burst operations. Windows are
// sliding.
inline constexpr std::chrono::seconds kRateLimitWindow{5};

// How many operations an organisation may run on all VMs together. An operation is a statement outside a transaction,
// or a whole transaction.
struct RateLimit {
  double operations_per_second = 0;
  // Operations allowed in each window in addition to the rate.
  double burst = 0;

  bool operator==(const RateLimit&) const = default;
};

}  // namespace amaranthlane::quotas

#endif  // AMARANTHLANE_CORE_QUOTAS_RATE_LIMIT_H_
