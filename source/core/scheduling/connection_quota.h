#ifndef AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_
#define AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_

#include <cstdint>

#include "core/types.h"

namespace amaranthlane::scheduling {

// How the connections to one endpoint are divided.
struct ConnectionQuotaSettings {
  // Maximum number of connections that the endpoint accepts.
  std::uint32_t connections = 30;
  // Reserved for autocommit statements; at least the endpoint's slots.
  std::uint32_t reserved_for_statements = 8;
  // Of the rest, reserved for the transactions of urgent work.
  std::uint32_t reserved_for_urgent = 4;
};

// Limits the connections to one endpoint that open transactions hold. A transaction holds its connection also while it
// is idle, so without a limit many idle transactions would leave no connection for statements.
class ConnectionQuota {
 public:
  explicit ConnectionQuota(const ConnectionQuotaSettings& settings);

  // Acquires a connection for a transaction of `rank`. Returns false if the quota is exhausted; the transaction then
  // has to be refused or to wait.
  bool TryAcquire(Rank rank);
  // Releases a connection that TryAcquire granted. Throws QuotaUnderflowError if none is held.
  void ReleaseOne();
  std::uint32_t HeldCount() const;

 private:
  ConnectionQuotaSettings settings;
  std::uint32_t held = 0;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_CONNECTION_QUOTA_H_
