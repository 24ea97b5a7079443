#ifndef AMARANTHLANE_CORE_STORE_SYNC_STORE_SYNC_SYSTEM_H_
#define AMARANTHLANE_CORE_STORE_SYNC_STORE_SYNC_SYSTEM_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/coordination/messages.h"
#include "core/store_sync/settings.h"
#include "core/types.h"

// How a VM keeps its copies of the configuration and of the directory of endpoints up to date. Members watch the store;
// the other VMs learn from members' replies to their heartbeats that there is a newer version, and fetch it from them.
// A reply also says how old the member's own knowledge is. A VM that hears of no knowledge young enough reads the store
// itself, so that it depends on no member, and on none having the store.
namespace amaranthlane::store_sync {

// Fetch the configuration, or the directory, from the VM at this address, which has a newer one.
struct FetchConfiguration {
  std::string address;
  std::uint64_t peer_version = 0;
};
struct FetchDirectory {
  std::string address;
  StoreRevision peer_revision;
};
// Read the configuration and the directory from the store.
struct ReadStore {};
using Action = std::variant<FetchConfiguration, FetchDirectory, ReadStore>;
using Actions = std::vector<Action>;

class StoreSyncSystem {
 public:
  StoreSyncSystem(const VmName& vm, const StoreSyncSettings& settings);

  // This VM's copies have changed. Versions never fall; a revision of a later era of the store is the newer one.
  void SetConfigurationVersion(std::uint64_t version);
  void SetDirectory(const StoreRevision& revision, const std::string& digest);
  // This VM's copy contains every change that the store acknowledged before `current_at`.
  void ConfirmConfiguration(TimePoint current_at);
  void ConfirmDirectory(TimePoint current_at);

  // Another VM reported which versions it has.
  void OnPeerVersions(const std::string& address, const coordination::StoreVersions& peer, TimePoint now,
                      Actions& actions);
  // Another VM uses a newer configuration, and requests wait until this VM has it.
  void OnNewerConfiguration(const std::string& address, std::uint64_t version, TimePoint now, Actions& actions);
  // A member answered the heartbeat sent at `sent_at`.
  void OnMemberReply(const std::string& address, const coordination::HeartbeatReply& reply, TimePoint sent_at,
                     TimePoint now, Actions& actions);
  // Runs what is due. `member`: this VM watches the store.
  void Tick(bool member, TimePoint now, Actions& actions);

  const coordination::StoreVersions& Versions() const;
  const coordination::StoreCurrency& Currency() const;

 private:
  StoreSyncSettings settings;
  // How much later than `max_copy_age` this VM reads the store.
  Duration read_delay;
  coordination::StoreVersions versions;
  coordination::StoreCurrency currency;
  // The newest configuration that requests wait for, and where to fetch it.
  FetchConfiguration awaited;
  TimePoint next_read;
  TimePoint next_configuration_fetch;
  TimePoint next_directory_fetch;
};

}  // namespace amaranthlane::store_sync

#endif  // AMARANTHLANE_CORE_STORE_SYNC_STORE_SYNC_SYSTEM_H_
