#ifndef AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_
#define AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_

#include <cstddef>
#include <random>
#include <string_view>

#include "core/outcomes/request.h"

// The rules that the leader and the entry VMs share: what may be sent again, and when.
namespace amaranthlane::outcomes {

// The longest idempotency key, in bytes.
inline constexpr std::size_t kMaxKeyLength = 128;

// Checks a request's key at the entry VM. Throws MissingIdempotencyKeyError or InvalidIdempotencyKeyError.
void CheckIdempotencyKey(const Obligation& obligation, StatementMode mode, std::string_view key);

// Whether a request may be sent although an earlier attempt may have run or may still run: a read, an idempotent write,
// or a write whose key decides at the endpoint.
bool MayRepeat(const Request& request);

// The delay before the attempt after `attempts` attempts: exponential, with full jitter drawn from `generator`.
Duration BackoffDelay(std::uint32_t attempts, std::mt19937_64& generator);

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_
