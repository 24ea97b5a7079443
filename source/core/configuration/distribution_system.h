#ifndef AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "core/configuration/distribution_messages.h"
#include "core/configuration/object_store.h"
#include "core/configuration/relay_selection.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// The intervals and bounds of distribution.
struct DistributionConstants {
  // The kinds that every VM follows.
  std::vector<std::string> kinds = {kDatabaseGroupsKind, kLeadershipKind, kLabelsKind,
                                    kSelectorsKind,      kCallersKind,    kEndpointsKind};
  // How long the platform may hold a watch open without a change.
  std::chrono::milliseconds watch_wait{10000};
  // A watch that is silent for longer than its wait by this much is dropped.
  std::chrono::milliseconds watch_margin{2000};
  // A watch is dropped when peers have known a version for this long that the watch hasn't delivered.
  std::chrono::milliseconds watch_lag_limit{1000};
  // A failed watch is reopened after a random time up to this one.
  std::chrono::milliseconds watch_retry{500};
  // The lists that follow a failure are spread at random over this time.
  std::chrono::milliseconds list_spread{10000};
  // A list, a read or a pull without an answer for this long has failed.
  std::chrono::milliseconds call_timeout{2000};
  // Digests pushed because of a change are at least this far apart.
  std::chrono::milliseconds push_interval{100};
  // Each VM sends its digest to a relay at least this far apart; the interval grows with the data centre so that a
  // relay receives at most `digests_per_relay` a second.
  std::chrono::milliseconds exchange_interval{500};
  std::size_t digests_per_relay = 10;
  // The bound on one answer with differences.
  std::size_t differences_limit_bytes = 256 * 1024;
};

// The version up to which a VM says that every change is in force there.
struct InForceEntry {
  VmName vm;
  std::string data_centre;
  ObjectVersion complete_through = 0;
};

// Keeps the object store of one VM up to date. The relays of a data centre hold watches at the platform; other VMs
// learn from peers whose digests show more than they hold.
class DistributionSystem {
 public:
  // `store` must outlive the system. `self` is this VM. `seed` feeds the jitter only.
  DistributionSystem(Member self, ObjectStore& store, std::uint64_t seed, DistributionConstants constants = {});

  std::vector<DistributionAction> Tick(TimePoint now, std::span<const DistributionEvent> events);

  // The next moment at which Tick has something to do without an event, or kNever.
  TimePoint NextDeadline() const;

  // Answers a peer's `POST /v1/peer/objects`.
  DifferencesAnswer Answer(const DifferencesRequest& request) const;

  // True when this VM holds a watch for its data centre.
  bool IsRelay() const;

  // What each live member is known to have in force, by their latest digests; 0 for one that was never heard.
  std::vector<InForceEntry> InForce() const;

 private:
  struct Peer {
    VmName vm;
    std::string data_centre;
    ConfigurationDigest digest;
    TimePoint reply_not_before{};
  };

  struct Watch {
    std::uint64_t id = 0;
    TimePoint deadline = kNever;
    TimePoint open_at = kNever;
    // When the watch is dropped for not delivering `lagging_behind`, unless it does before.
    TimePoint lag_deadline = kNever;
    ObjectVersion lagging_behind = 0;
  };

  struct List {
    std::string kind;
    std::uint64_t id = 0;
    TimePoint start_at = kNever;
    TimePoint deadline = kNever;
  };

  struct Pull {
    std::uint64_t id = 0;
    VmName peer;
    DifferencesRequest request;
    TimePoint deadline = kNever;
  };

  struct Read {
    std::string kind;
    std::string name;
    ObjectVersion version = 0;
    TimePoint deadline = kNever;
  };

  // What one tick gathers.
  struct Step {
    TimePoint now;
    std::vector<DistributionAction> actions;
    bool changed = false;
  };

  void On(Step& step, const MembersChanged& event);
  void On(Step& step, const PeerDigestReceived& event);
  void On(Step& step, const WatchAnswered& event);
  void On(Step& step, const WatchFailed& event);
  void On(Step& step, const ListAnswered& event);
  void On(Step& step, const ListFailed& event);
  void On(Step& step, const DifferencesReceived& event);
  void On(Step& step, const DifferencesFailed& event);
  void On(Step& step, const NewerVersionSeen& event);
  void On(Step& step, const ObjectLearned& event);
  void On(Step& step, const ReadFailed& event);

  void RunWatch(Step& step);
  void RunLists(Step& step);
  void RunPull(Step& step);
  void RunReads(Step& step);
  void RunPush(Step& step);
  void RunExchange(Step& step);

  void ApplyAll(Step& step, const std::vector<PlatformObject>& objects);
  void BecomeRelay(Step& step);
  void StopRelay(Step& step);
  void DropWatch(Step& step);
  void ScheduleLists(TimePoint now, Duration spread);
  void StartPull(Step& step, const Peer& peer, DifferencesRequest request);
  void NoteLag(TimePoint now);
  VmName ExchangeTarget();
  Duration ExchangeInterval() const;
  Duration Jitter(Duration bound);

  Member self;
  ObjectStore& store;
  DistributionConstants constants;
  std::mt19937_64 generator;
  std::uint64_t next_id = 1;
  std::map<VmName, Peer> peers;
  std::vector<VmName> relays;
  bool relay = false;
  Watch watch;
  std::vector<List> lists;
  std::vector<Read> reads;
  Pull pull;
  TimePoint push_at = kNever;
  TimePoint push_not_before{};
  TimePoint exchange_at = kNever;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_SYSTEM_H_
