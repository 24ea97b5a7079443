#include "proxy/memory_platform.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace amaranthlane::proxy {

void MemoryStore::Publish() {
  ++this->revision;
  this->directory.revision = this->revision;
  for (MemoryPlatform* follower : this->followers) {
    if (follower->watching) {
      follower->Tell();
    }
  }
}

MemoryPlatform::MemoryPlatform(boost::asio::io_context& loop, MemoryStore& store) : loop(loop), store(store) {
  store.followers.push_back(this);
}

void MemoryPlatform::ReadRecord(RecordRead callback) {
  boost::asio::post(this->loop, [this, callback = std::move(callback)] {
    callback(this->reachable, this->reachable ? this->store.record : std::nullopt, this->store.record_revision);
  });
}

void MemoryPlatform::WriteRecord(const coordination::CoordinationRecord& record, ObjectVersion expected_revision,
                                 RecordWritten callback) {
  coordination::WriteResult result = coordination::WriteResult::kRefused;
  if (this->reachable) {
    result = expected_revision == this->store.record_revision ? coordination::WriteResult::kWritten
                                                              : coordination::WriteResult::kConflict;
  }
  if (result == coordination::WriteResult::kWritten) {
    this->store.record = record;
    this->store.record_revision = ++this->store.revision;
  }
  boost::asio::post(this->loop, [result, revision = this->store.record_revision, callback = std::move(callback)] {
    callback(result, revision);
  });
}

void MemoryPlatform::Promote(const failover::OrderPromotion& order, const VmName& /*holder*/, Promoted callback) {
  if (this->reachable) {
    this->store.promote(order);
  }
  boost::asio::post(this->loop, [reachable = this->reachable, callback = std::move(callback)] {
    callback(reachable ? failover::PromotionResult::kAccepted : failover::PromotionResult::kFailed);
  });
}

void MemoryPlatform::FollowConfiguration(ConfigurationChanged callback) {
  this->configuration_changed = std::move(callback);
  this->Tell();
}

void MemoryPlatform::FollowDirectory(DirectoryChanged callback) {
  this->directory_changed = std::move(callback);
  this->Tell();
}

void MemoryPlatform::Refresh() {
  ++this->refreshes;
  this->Tell();
}

void MemoryPlatform::SetWatching(bool now_watching) {
  if (!std::exchange(this->watching, now_watching) && now_watching) {
    this->Tell();
  }
}

void MemoryPlatform::Tell() {
  if (!this->reachable) {
    return;
  }
  boost::asio::post(this->loop, [this] {
    if (this->configuration_changed) {
      this->configuration_changed(this->store.configuration);
    }
    if (this->directory_changed) {
      this->directory_changed(this->store.directory);
    }
  });
}

}  // namespace amaranthlane::proxy
