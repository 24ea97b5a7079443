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

const coordination::CoordinationRecord* InMemoryStore::Record() const {
  return this->records.empty() ? nullptr : &this->records.rbegin()->second.first;
}

InMemoryPlatform::InMemoryPlatform(boost::asio::io_context& loop, InMemoryStore& store) : loop(loop), store(store) {
  store.platforms.push_back(this);
}

void InMemoryPlatform::ReadRecord(ReadRecordCallback callback) {
  boost::asio::post(this->loop, [this, callback = std::move(callback)] {
    const auto& records = this->store.records;
    const bool known = this->reachable && !records.empty();
    const bool current = known && records.rbegin()->first == this->store.era;
    callback(this->reachable, known ? std::optional(records.rbegin()->second.first) : std::nullopt,
             {this->store.era, current ? records.rbegin()->second.second : 0});
  });
}

void InMemoryPlatform::WriteRecord(const coordination::CoordinationRecord& record,
                                   const StoreRevision& expected_revision, WriteRecordCallback callback) {
  coordination::WriteResult result = coordination::WriteResult::kRefused;
  const auto found = this->store.records.find(expected_revision.era);
  const ObjectVersion current = found == this->store.records.end() ? 0 : found->second.second;
  if (this->reachable) {
    result = expected_revision.revision == current ? coordination::WriteResult::kWritten
                                                   : coordination::WriteResult::kConflict;
  }
  if (result == coordination::WriteResult::kWritten) {
    this->store.records[expected_revision.era] = {record, ++this->store.revision};
    result = expected_revision.era == this->store.era ? result : coordination::WriteResult::kConflict;
  }
  const StoreRevision written{this->store.era, this->store.revision};
  boost::asio::post(this->loop, [result, written, callback = std::move(callback)] { callback(result, written); });
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

// Orders are executed at once, so none is in flight.
void InMemoryPlatform::CancelPromotions() {}

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
