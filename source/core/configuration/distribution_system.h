#ifndef AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "core/configuration/anti_entropy.h"
#include "core/configuration/distribution_constants.h"
#include "core/configuration/distribution_messages.h"
#include "core/configuration/object_store.h"
#include "core/configuration/platform_watcher.h"
#include "core/configuration/random_source.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// Keeps the object store of one VM up to date. The relays of a data centre watch the platform; the other VMs pull
// changes from peers whose digests are ahead of their own.
class DistributionSystem {
 public:
  // `store` must outlive the system. `self` is this VM. `seed` is used for random delays and choices only.
  DistributionSystem(Member self, ObjectStore& store, std::uint64_t seed, DistributionConstants constants = {});
  // Not copyable, because the members hold references to each other.
  DistributionSystem(const DistributionSystem&) = delete;
  DistributionSystem& operator=(const DistributionSystem&) = delete;

  std::vector<DistributionAction> Tick(TimePoint now, std::span<const DistributionEvent> events);

  // The next time at which Tick() has something to do without an event, or kNever.
  TimePoint NextDeadline() const;

  // Returns the reply to a peer's `POST /v1/peer/objects`.
  DifferencesReply ReplyTo(const DifferencesRequest& request) const;

  // True when this VM is a relay of its data centre and watches the platform.
  bool IsRelay() const;

  // The relays of a data centre, among the members that this VM knows. The VMs of a data centre send their digests to
  // its relays.
  std::vector<VmName> RelaysOf(const std::string& data_centre) const;

  // The version through which each live member is complete, by its latest digest; 0 for a member without a digest.
  std::vector<AppliedVersion> AppliedVersions() const;

 private:
  // A pending read of one object.
  struct Read {
    std::string kind;
    std::string name;
    TimePoint deadline = kNever;
  };

  // The state that one Tick() collects.
  struct Step {
    TimePoint now;
    std::vector<DistributionAction> actions;
    // True when peers should receive a new digest.
    bool notify_peers = false;
    // A version that a peer's digest showed but the peer could not deliver, or 0.
    ObjectVersion unavailable_version = 0;
  };

  void On(Step& step, const MembersChanged& event);
  void On(Step& step, const PeerDigestReceived& event);
  void On(Step& step, const WatchSucceeded& event);
  void On(Step& step, const WatchFailed& event);
  void On(Step& step, const ListSucceeded& event);
  void On(Step& step, const ListFailed& event);
  void On(Step& step, const DifferencesReceived& event);
  void On(Step& step, const DifferencesFailed& event);
  void On(Step& step, const NewerVersionSeen& event);
  void On(Step& step, const ObjectReceived& event);
  void On(Step& step, const ReadFailed& event);
  void EndRead(const std::string& kind, const std::string& name);

  Member self;
  ObjectStore& store;
  DistributionConstants constants;
  RandomSource random;
  PlatformWatcher platform_watcher;
  AntiEntropy anti_entropy;
  std::vector<Read> reads;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_
