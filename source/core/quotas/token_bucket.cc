#include "core/quotas/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace amaranthlane::quotas {

namespace {

using Seconds = std::chrono::duration<double>;

// The longest wait that is computed, so that no rate overflows a time.
constexpr std::chrono::hours kMaxWait{1};

}  // namespace

TokenBucket::TokenBucket(const RateLimit& limit, TimePoint now) : limit(limit), refilled_at(now) {}

double TokenBucket::Capacity() const {
  return this->limit.operations_per_second > 0 ? std::max(1.0, this->limit.burst) : this->limit.burst;
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= this->refilled_at) {
    return;
  }
  const double gained = Seconds(now - this->refilled_at).count() * this->limit.operations_per_second;
  this->tokens = std::min(this->tokens + gained, this->Capacity());
  this->refilled_at = now;
}

void TokenBucket::SetLimit(const RateLimit& new_limit, TimePoint now) {
  this->Refill(now);
  this->limit = new_limit;
  this->tokens = std::min(this->tokens, this->Capacity());
}

std::uint64_t TokenBucket::Take(std::uint64_t count, TimePoint now) {
  this->Refill(now);
  const auto available = static_cast<std::uint64_t>(std::floor(this->tokens));
  const std::uint64_t taken = std::min(count, available);
  this->tokens -= static_cast<double>(taken);
  return taken;
}

TimePoint TokenBucket::AvailableAt(double wanted, TimePoint now) {
  this->Refill(now);
  if (this->tokens >= wanted) {
    return now;
  }
  if (this->limit.operations_per_second <= 0) {
    return kNever;
  }
  const Seconds wait((wanted - this->tokens) / this->limit.operations_per_second);
  return now + std::chrono::duration_cast<Duration>(std::min<Seconds>(wait, kMaxWait));
}

}  // namespace amaranthlane::quotas
