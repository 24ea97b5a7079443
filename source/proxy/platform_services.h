#ifndef AMARANTHLANE_PROXY_PLATFORM_SERVICES_H_
#define AMARANTHLANE_PROXY_PLATFORM_SERVICES_H_

#include <functional>
#include <optional>

#include "core/coordination/coordination_system.h"
#include "core/failover/endpoint_status.h"
#include "core/failover/primary_change_system.h"
#include "proxy/configuration.h"
#include "proxy/peer_sync_messages.h"

// What the proxy needs from the platform. Callbacks run on the event loop's thread, after the call that registers them
// has returned. Those of ReadRecord, WriteRecord and Promote run once.
namespace amaranthlane::proxy {

class PlatformServices {
 public:
  // `revision`: the store's era, and the revision of that era's record. Without one the number is 0, and `record` is
  // the newest record of an earlier era, if there is any.
  using ReadRecordCallback = std::function<void(bool answered, std::optional<coordination::CoordinationRecord> record,
                                                const StoreRevision& revision)>;
  using WriteRecordCallback = std::function<void(coordination::WriteResult result, const StoreRevision& revision)>;
  using PromoteCallback = std::function<void(failover::PromotionResult result)>;
  // `current_at`: the content includes every change that the store acknowledged before that time.
  using ConfigurationCallback = std::function<void(const Configuration& configuration, TimePoint current_at)>;
  using DirectoryCallback = std::function<void(DirectorySnapshot directory, TimePoint current_at)>;

  virtual ~PlatformServices() = default;

  virtual void ReadRecord(ReadRecordCallback callback) = 0;
  // Writes the record of the expected revision's era.
  virtual void WriteRecord(const coordination::CoordinationRecord& record, const StoreRevision& expected_revision,
                           WriteRecordCallback callback) = 0;
  // Ends the order by its deadline: what the platform hasn't received then never reaches it.
  virtual void Promote(const failover::OrderPromotion& order, const VmName& coordinator, PromoteCallback callback) = 0;
  // Ends all orders in flight in the same way, at once. Their callbacks run with kFailed.
  virtual void CancelPromotions() = 0;
  // Subscribe to the configuration and to the directory of endpoints for the life of the process. The callbacks run for
  // each answer of the store, also when nothing has changed.
  virtual void SubscribeToConfiguration(ConfigurationCallback callback) = 0;
  virtual void SubscribeToDirectory(DirectoryCallback callback) = 0;
  // Reads the configuration and the directory once, without delay. For a VM that no peer informs of changes. A read
  // that fails is not repeated, unless none has succeeded yet.
  virtual void Refresh() = 0;
  // Whether this VM watches the store for changes. If not, it learns of them from its peers.
  virtual void SetWatching(bool watching) = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_PLATFORM_SERVICES_H_
