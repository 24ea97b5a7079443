#ifndef AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_
#define AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_

#include <cstddef>
#include <random>
#include <string_view>

#include "core/outcomes/request.h"

// Rules shared by the leader and the entry VMs: which requests may be sent again, and when.
namespace amaranthlane::outcomes {

// Maximum length of an idempotency key, in bytes.
inline constexpr std::size_t kMaxKeyLength = 128;

// Throws InvalidIdempotencyKeyError. An empty key is a missing one.
void CheckIdempotencyKeyFormat(std::string_view key);

// Checks the idempotency key of a request at the entry VM. Throws MissingIdempotencyKeyError or
// InvalidIdempotencyKeyError.
void CheckIdempotencyKey(const ServiceRequirements& requirements, StatementMode mode, std::string_view key);

// Whether a request may be sent again although an earlier attempt may have run or may still run. True for a read, an
// idempotent write, and a write with an idempotency key, which keeps the endpoint from running it twice.
bool MayRepeat(const Request& request);

// The delay before the next attempt after `attempts` attempts: exponential backoff with full jitter drawn from
// `generator`.
Duration BackoffDelay(std::uint32_t attempts, std::mt19937_64& generator);

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_RETRY_RULE_H_
