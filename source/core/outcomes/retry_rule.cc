#include "core/outcomes/retry_rule.h"

#include <algorithm>

#include "core/outcomes/outcome_errors.h"

namespace amaranthlane::outcomes {

namespace {

constexpr Duration kFirstBackoff = std::chrono::milliseconds(10);
constexpr Duration kGreatestBackoff = std::chrono::milliseconds(500);
// Beyond so many doublings the greatest backoff holds.
constexpr std::uint32_t kMaximumDoublings = 6;

bool IsVisible(char character) { return character > ' ' && character <= '~'; }

}  // namespace

void CheckIdempotencyKey(const ServiceRequirements& requirements, StatementMode mode, std::string_view key) {
  if (key.empty() && mode == StatementMode::kWrite && !requirements.idempotent) {
    throw MissingIdempotencyKeyError();
  }
  if (key.size() > kMaximumKeyLength || !std::all_of(key.begin(), key.end(), IsVisible)) {
    throw InvalidIdempotencyKeyError();
  }
}

bool MayRepeat(const Request& request) {
  return request.mode == StatementMode::kRead || request.requirements.idempotent || !request.idempotency_key.empty();
}

Duration BackoffDelay(std::uint32_t attempts, std::mt19937_64& generator) {
  const Duration doubled = kFirstBackoff * (1LL << std::min(attempts, kMaximumDoublings));
  const Duration limit = std::min(doubled, kGreatestBackoff);
  return Duration(std::uniform_int_distribution<Duration::rep>(1, limit.count())(generator));
}

}  // namespace amaranthlane::outcomes
