#include "core/store_sync/store_sync_system.h"

#include <algorithm>

#include "core/rendezvous.h"

namespace amaranthlane::store_sync {

StoreSyncSystem::StoreSyncSystem(const VmName& vm, const StoreSyncSettings& settings)
    : settings(settings),
      read_delay(static_cast<Duration::rep>(RendezvousHash("store read", vm) %
                                            static_cast<std::uint64_t>(settings.max_read_delay.count()))) {}

void StoreSyncSystem::SetConfigurationVersion(std::uint64_t version) {
  this->versions.configuration_version = std::max(this->versions.configuration_version, version);
}

void StoreSyncSystem::SetDirectory(const StoreRevision& revision, const std::string& digest) {
  this->versions.directory_revision = std::max(this->versions.directory_revision, revision);
  this->versions.directory_digest = digest;
}

void StoreSyncSystem::ConfirmConfiguration(TimePoint current_at) {
  this->currency.configuration_at = std::max(this->currency.configuration_at, current_at);
}

void StoreSyncSystem::ConfirmDirectory(TimePoint current_at) {
  this->currency.directory_at = std::max(this->currency.directory_at, current_at);
}

void StoreSyncSystem::OnPeerVersions(const std::string& address, const coordination::StoreVersions& peer, TimePoint now,
                                     Actions& actions) {
  if (peer.configuration_version > this->versions.configuration_version && now >= this->next_configuration_fetch) {
    this->next_configuration_fetch = now + this->settings.fetch_interval;
    actions.emplace_back(FetchConfiguration{address, peer.configuration_version});
  }
  const bool newer = peer.directory_revision > this->versions.directory_revision && !peer.directory_digest.empty();
  if (newer && peer.directory_digest != this->versions.directory_digest && now >= this->next_directory_fetch) {
    this->next_directory_fetch = now + this->settings.fetch_interval;
    actions.emplace_back(FetchDirectory{address, peer.directory_revision});
  }
}

void StoreSyncSystem::OnNewerConfiguration(const std::string& address, std::uint64_t version, TimePoint now,
                                           Actions& actions) {
  if (version <= std::max(this->versions.configuration_version, this->awaited.peer_version)) {
    return;
  }
  this->awaited = {address, version};
  this->next_configuration_fetch = now + this->settings.fetch_interval;
  actions.emplace_back(this->awaited);
}

void StoreSyncSystem::OnMemberReply(const std::string& address, const coordination::HeartbeatReply& reply,
                                    TimePoint sent_at, TimePoint now, Actions& actions) {
  this->OnPeerVersions(address, reply.store, now, actions);
  if (reply.configuration_age && this->versions.configuration_version >= reply.store.configuration_version) {
    this->ConfirmConfiguration(sent_at - *reply.configuration_age);
  }
  const bool same_directory = this->versions.directory_digest == reply.store.directory_digest;
  if (reply.directory_age && (same_directory || this->versions.directory_revision >= reply.store.directory_revision)) {
    this->ConfirmDirectory(sent_at - *reply.directory_age);
  }
}

void StoreSyncSystem::Tick(bool member, TimePoint now, Actions& actions) {
  if (this->awaited.peer_version > this->versions.configuration_version && now >= this->next_configuration_fetch) {
    this->next_configuration_fetch = now + this->settings.fetch_interval;
    actions.emplace_back(this->awaited);
  }
  if (this->next_read == TimePoint()) {
    // Each VM reads the store when it starts.
    this->next_read = now + this->settings.read_interval;
  }
  const TimePoint current_at = std::min(this->currency.configuration_at, this->currency.directory_at);
  if (member || now <= current_at + this->settings.max_copy_age + this->read_delay || now < this->next_read) {
    return;
  }
  this->next_read = now + this->settings.read_interval;
  actions.emplace_back(ReadStore{});
}

const coordination::StoreVersions& StoreSyncSystem::Versions() const { return this->versions; }

const coordination::StoreCurrency& StoreSyncSystem::Currency() const { return this->currency; }

}  // namespace amaranthlane::store_sync
