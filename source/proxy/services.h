#ifndef AMARANTHLANE_PROXY_SERVICES_H_
#define AMARANTHLANE_PROXY_SERVICES_H_

#include <functional>
#include <optional>

#include "core/coordination/coordination_system.h"
#include "core/failover/endpoint_status.h"
#include "core/failover/primary_change_system.h"
#include "proxy/configuration.h"
#include "proxy/knowledge_messages.h"

// What the proxy needs from the platform. Callbacks run later on the event loop's thread, once each.
namespace amaranthlane::proxy {

class PlatformServices {
 public:
  using RecordRead = std::function<void(bool answered, std::optional<coordination::CoordinationRecord> record,
                                        ObjectVersion revision)>;
  using RecordWritten = std::function<void(coordination::WriteResult result, ObjectVersion revision)>;
  using Promoted = std::function<void(failover::PromotionResult result)>;
  using ConfigurationChanged = std::function<void(Configuration configuration)>;
  using DirectoryChanged = std::function<void(DirectorySnapshot directory)>;

  virtual ~PlatformServices() = default;

  virtual void ReadRecord(RecordRead callback) = 0;
  virtual void WriteRecord(const coordination::CoordinationRecord& record, ObjectVersion expected_revision,
                           RecordWritten callback) = 0;
  virtual void Promote(const failover::OrderPromotion& order, const VmName& holder, Promoted callback) = 0;
  // Follow the configuration and the directory of endpoints for as long as the process lives. The directory is told
  // with each answer of the store, also when only its revision is new.
  virtual void FollowConfiguration(ConfigurationChanged callback) = 0;
  virtual void FollowDirectory(DirectoryChanged callback) = 0;
  // Reads both at once: this VM hears from no peer that would tell it of changes.
  virtual void Refresh() = 0;
  // Whether this VM watches the store for changes; otherwise its peers tell it of them.
  virtual void SetWatching(bool watching) = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SERVICES_H_
