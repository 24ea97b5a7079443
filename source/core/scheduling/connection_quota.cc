#include "core/scheduling/connection_quota.h"

#include "core/scheduling/scheduling_errors.h"

namespace amaranthlane::scheduling {

ConnectionQuota::ConnectionQuota(const ConnectionQuotaSettings& settings) : settings(settings) {}

bool ConnectionQuota::TryTake(Rank rank) {
  std::uint32_t kept = this->settings.kept_for_statements;
  if (rank != Rank::kUrgent) {
    kept += this->settings.kept_for_urgent;
  }
  if (this->taken + kept >= this->settings.connections) {
    return false;
  }
  ++this->taken;
  return true;
}

void ConnectionQuota::GiveBack() {
  if (this->taken == 0) {
    throw QuotaUnderflowError();
  }
  --this->taken;
}

std::uint32_t ConnectionQuota::Taken() const { return this->taken; }

}  // namespace amaranthlane::scheduling
