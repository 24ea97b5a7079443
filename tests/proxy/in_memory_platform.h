#ifndef AMARANTHLANE_TESTS_PROXY_IN_MEMORY_PLATFORM_H_
#define AMARANTHLANE_TESTS_PROXY_IN_MEMORY_PLATFORM_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "proxy/platform_services.h"

namespace amaranthlane::proxy {

class InMemoryPlatform;

// What a copy of the store holds.
struct InMemoryContent {
  // By era, with the revision of each.
  std::map<StoreEra, std::pair<coordination::CoordinationRecord, ObjectVersion>> records;
  // Increased by each change.
  ObjectVersion revision = 0;
  Configuration configuration;
  DirectorySnapshot directory;
};

// The content of the platform's store, and the platforms that subscribe to it.
struct InMemoryStore : InMemoryContent {
  StoreEra era = 1;
  std::vector<InMemoryPlatform*> platforms;
  // Executes an order to promote an endpoint.
  std::function<void(const failover::OrderPromotion&)> promote;

  // Notifies subscribers that watch the store. To be called after a change of the configuration or the directory.
  void Publish();
  // The newest record; null if there is none.
  const coordination::CoordinationRecord* Record() const;
  // Replaces the content by an older copy of it, which loses what was acknowledged since. Revisions are given out again
  // from there.
  void Restore(const InMemoryContent& copy);
};

// One VM's access to the store, on the test's event loop.
class InMemoryPlatform : public PlatformServices {
 public:
  InMemoryPlatform(boost::asio::io_context& loop, InMemoryStore& store);

  void ReadRecord(ReadRecordCallback callback) override;
  void WriteRecord(const coordination::CoordinationRecord& record, const StoreRevision& expected_revision,
                   WriteRecordCallback callback) override;
  void Promote(const failover::OrderPromotion& order, const VmName& coordinator, PromoteCallback callback) override;
  void CancelPromotions() override;
  void SubscribeToConfiguration(ConfigurationCallback callback) override;
  void SubscribeToDirectory(DirectoryCallback callback) override;
  void Refresh() override;
  void SetWatching(bool watching) override;

  void Notify();

  // False: the store doesn't answer this VM.
  bool reachable = true;
  bool watching = true;
  std::size_t refresh_count = 0;

 private:
  boost::asio::io_context& loop;
  InMemoryStore& store;
  ConfigurationCallback configuration_changed;
  DirectoryCallback directory_changed;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_TESTS_PROXY_IN_MEMORY_PLATFORM_H_
