#include "core/outcomes/retry_rule.h"

#include <algorithm>

#include "core/outcomes/outcome_errors.h"

namespace amaranthlane::outcomes {

namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(10);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(500);
// With this many doublings the backoff exceeds kMaxBackoff.
constexpr std::uint32_t kMaxDoublings = 6;

bool IsVisibleAscii(char character) { return character > ' ' && character <= '~'; }

}  // namespace

void CheckIdempotencyKeyFormat(std::string_view key) {
  if (key.size() > kMaxKeyLength || !std::all_of(key.begin(), key.end(), IsVisibleAscii)) {
    throw InvalidIdempotencyKeyError();
  }
}

void CheckIdempotencyKey(const ServiceRequirements& requirements, StatementMode mode, std::string_view key) {
  if (key.empty() && mode == StatementMode::kWrite && !requirements.idempotent) {
    throw MissingIdempotencyKeyError();
  }
  CheckIdempotencyKeyFormat(key);
}

bool MayRepeat(const Request& request) {
  return request.mode == StatementMode::kRead || request.requirements.idempotent || !request.idempotency_key.empty();
}

Duration BackoffDelay(std::uint32_t attempts, std::mt19937_64& generator) {
  const Duration exponential = kInitialBackoff * (1LL << std::min(attempts, kMaxDoublings));
  const Duration limit = std::min(exponential, kMaxBackoff);
  return Duration(std::uniform_int_distribution<Duration::rep>(1, limit.count())(generator));
}

}  // namespace amaranthlane::outcomes
