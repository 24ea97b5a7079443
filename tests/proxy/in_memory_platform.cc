#include "proxy/in_memory_platform.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace amaranthlane::proxy {

void InMemoryStore::Publish() {
  ++this->revision;
  this->directory.revision = {this->era, this->revision};
  for (InMemoryPlatform* platform : this->platforms) {
    if (platform->watching) {
      platform->Notify();
    }
  }
}

void InMemoryStore::Restore(const InMemoryContent& copy) {
  static_cast<InMemoryContent&>(*this) = copy;
  this->directory.revision.era = ++this->era;
  for (InMemoryPlatform* platform : this->platforms) {
    if (platform->watching) {
      platform->Notify();
    }
  }
}

InMemoryPlatform::InMemoryPlatform(boost::asio::io_context& loop, InMemoryStore& store) : loop(loop), store(store) {
  store.platforms.push_back(this);
}

void InMemoryPlatform::ReadRecord(ReadRecordCallback callback) {
  boost::asio::post(this->loop, [this, callback = std::move(callback)] {
    callback(this->reachable, this->reachable ? this->store.record : std::nullopt, this->store.record_revision);
  });
}

void InMemoryPlatform::WriteRecord(const coordination::CoordinationRecord& record, ObjectVersion expected_revision,
                                   WriteRecordCallback callback) {
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

void InMemoryPlatform::Promote(const failover::OrderPromotion& order, const VmName& /*coordinator*/,
                               PromoteCallback callback) {
  if (this->reachable) {
    this->store.promote(order);
  }
  boost::asio::post(this->loop, [reachable = this->reachable, callback = std::move(callback)] {
    callback(reachable ? failover::PromotionResult::kAccepted : failover::PromotionResult::kFailed);
  });
}

void InMemoryPlatform::SubscribeToConfiguration(ConfigurationCallback callback) {
  this->configuration_changed = std::move(callback);
  this->Notify();
}

void InMemoryPlatform::SubscribeToDirectory(DirectoryCallback callback) {
  this->directory_changed = std::move(callback);
  this->Notify();
}

void InMemoryPlatform::Refresh() {
  ++this->refresh_count;
  this->Notify();
}

void InMemoryPlatform::SetWatching(bool now_watching) {
  if (!std::exchange(this->watching, now_watching) && now_watching) {
    this->Notify();
  }
}

void InMemoryPlatform::Notify() {
  if (!this->reachable) {
    return;
  }
  boost::asio::post(this->loop, [this, requested_at = BootClock::now()] {
    if (this->configuration_changed) {
      this->configuration_changed(this->store.configuration, requested_at);
    }
    if (this->directory_changed) {
      this->directory_changed(this->store.directory, requested_at);
    }
  });
}

}  // namespace amaranthlane::proxy
