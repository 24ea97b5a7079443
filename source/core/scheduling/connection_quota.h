#ifndef AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_
#define AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_

#include <cstdint>

#include "core/types.h"

namespace amaranthlane::scheduling {

// How the connections to one endpoint are divided.
struct ConnectionQuotaSettings {
  // The most connections that the endpoint takes.
  std::uint32_t connections = 30;
  // Kept for statements that commit by themselves; at least the endpoint's slots.
  std::uint32_t reserved_for_statements = 8;
  // Of the rest, kept for the transactions of urgent work.
  std::uint32_t reserved_for_urgent = 4;
};

// Counts the connections to one endpoint that open transactions hold. A transaction holds its connection while it
// thinks, so that without a bound a flood of idle transactions would take every connection from the statements.
class ConnectionQuota {
 public:
  explicit ConnectionQuota(const ConnectionQuotaSettings& settings);

  // Takes a connection for a transaction of `rank`. False: the transaction is to be refused or to wait.
  bool TryAcquire(Rank rank);
  // Gives back a connection that TryAcquire granted.
  void ReleaseOne();
  std::uint32_t HeldCount() const;

 private:
  ConnectionQuotaSettings settings;
  std::uint32_t held = 0;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_
