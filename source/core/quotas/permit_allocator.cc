#include "core/quotas/permit_allocator.h"

#include <algorithm>
#include <chrono>

namespace amaranthlane::quotas {

namespace {

// The longest delay that is suggested to a refused caller.
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};
// What the buckets hold after a pause, as a share of what a window allows. A window may begin with full buckets, and
// limits are stated with a tolerance of a tenth.
constexpr double kCapacityShare = 0.05;

std::chrono::milliseconds RoundUp(Duration duration) {
  const Duration bounded = std::clamp<Duration>(duration, Duration::zero(), kMaxRetryDelay);
  return std::chrono::ceil<std::chrono::milliseconds>(bounded);
}

}  // namespace

// The bucket's rate uses up what a window allows, burst included, so that a steady flow isn't refused below the limit.
RateLimit PermitAllocator::OwnShare(const RateLimit& limit) const {
  const auto count = static_cast<double>(this->share_count.value_or(1));
  const double window_seconds = std::chrono::duration<double>(kRateLimitWindow).count();
  const double allowed_in_window = limit.operations_per_second * window_seconds + limit.burst;
  const double capacity = std::min(limit.burst, kCapacityShare * allowed_in_window);
  return {allowed_in_window / window_seconds / count, capacity / count};
}

void PermitAllocator::SetLimits(const RateLimits& update, TimePoint now) {
  this->limits = update;
  std::erase_if(this->shares, [this](const auto& share) { return this->limits->count(share.first) == 0; });
  for (const auto& [organisation, limit] : *this->limits) {
    const RateLimit own = this->OwnShare(limit);
    const auto [share, added] = this->shares.try_emplace(organisation, Share{TokenBucket(own, now), now});
    if (!added) {
      share->second.bucket.SetLimit(own, now);
    }
  }
}

void PermitAllocator::SetShareCount(std::optional<std::size_t> update, TimePoint now) {
  if (update == this->share_count) {
    return;
  }
  const bool begins = !this->share_count;
  this->share_count = update;
  if (begins) {
    this->shares.clear();
  }
  if (this->limits) {
    this->SetLimits(RateLimits(*this->limits), now);
  }
}

PermitReply PermitAllocator::Allocate(const PermitRequest& request, TimePoint now) {
  PermitReply reply;
  reply.allocating = this->share_count && this->limits;
  if (!reply.allocating) {
    return reply;
  }
  for (const auto& [organisation, count] : request.counts) {
    const auto limit = this->limits->find(organisation);
    if (limit == this->limits->end()) {
      reply.grants[organisation] = {count, {}, {}};
      continue;
    }
    Share& share = this->shares.at(organisation);
    reply.grants[organisation] = this->AllocateFrom(share, this->OwnShare(limit->second), count, now);
  }
  return reply;
}

PermitGrant PermitAllocator::AllocateFrom(Share& share, const RateLimit& limit, std::uint64_t count,
                                          TimePoint now) const {
  PermitGrant grant;
  grant.granted = share.bucket.Take(count, now);
  const std::uint64_t refused = count - grant.granted;
  if (refused == 0) {
    return grant;
  }
  const TimePoint next_token = share.bucket.AvailableAt(1, now);
  if (next_token == kNever) {
    grant.retry_after = kMaxRetryDelay;
    grant.interval = kMaxRetryDelay;
    return grant;
  }
  const std::chrono::duration<double> seconds_per_token(1 / limit.operations_per_second);
  const auto interval =
      std::chrono::duration_cast<Duration>(std::min<std::chrono::duration<double>>(seconds_per_token, kMaxRetryDelay));
  const TimePoint first = std::max(next_token, share.last_retry_at + interval);
  grant.retry_after = RoundUp(first - now);
  grant.interval = RoundUp(interval);
  share.last_retry_at = std::min<TimePoint>(first + interval * (refused - 1), now + kMaxRetryDelay);
  return grant;
}

}  // namespace amaranthlane::quotas
