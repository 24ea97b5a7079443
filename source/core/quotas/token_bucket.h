#ifndef AMARANTHLANE_CORE_QUOTAS_TOKEN_BUCKET_H_
#define AMARANTHLANE_CORE_QUOTAS_TOKEN_BUCKET_H_

#include <cstdint>

#include "core/quotas/rate_limit.h"
#include "core/types.h"

namespace amaranthlane::quotas {

// A token bucket that begins empty, as tokens may have been spent elsewhere before it existed.
class TokenBucket {
 public:
  TokenBucket(const RateLimit& limit, TimePoint now);

  // Tokens that were gained by the former limit are kept as far as the new burst allows.
  void SetLimit(const RateLimit& limit, TimePoint now);
  // Removes up to `count` tokens and returns how many.
  std::uint64_t Take(std::uint64_t count, TimePoint now);
  // When the bucket will hold `tokens`, no other being taken; kNever if its rate is zero.
  TimePoint AvailableAt(double tokens, TimePoint now);

 private:
  void Refill(TimePoint now);
  // At least one token, or a small share of a limit could never be used.
  double Capacity() const;

  RateLimit limit;
  double tokens = 0;
  TimePoint refilled_at;
};

}  // namespace amaranthlane::quotas

#endif  // AMARANTHLANE_CORE_QUOTAS_TOKEN_BUCKET_H_
