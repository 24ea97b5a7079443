#include "core/scheduling/connection_quota.h"

#include "core/scheduling/scheduling_errors.h"

namespace amaranthlane::scheduling {

ConnectionQuota::ConnectionQuota(const ConnectionQuotaSettings& settings) : settings(settings) {}

bool ConnectionQuota::TryAcquire(Rank rank) {
  std::uint32_t reserved = this->settings.reserved_for_statements;
  if (rank != Rank::kUrgent) {
    reserved += this->settings.reserved_for_urgent;
  }
  if (this->held + reserved >= this->settings.connections) {
    return false;
  }
  ++this->held;
  return true;
}

void ConnectionQuota::ReleaseOne() {
  if (this->held == 0) {
    throw QuotaUnderflowError();
  }
  --this->held;
}

std::uint32_t ConnectionQuota::HeldCount() const { return this->held; }

}  // namespace amaranthlane::scheduling
