#ifndef AMARANTHLANE_CORE_CONFIGURATION_ANTI_ENTROPY_H_
#define AMARANTHLANE_CORE_CONFIGURATION_ANTI_ENTROPY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/configuration/distribution_constants.h"
#include "core/configuration/distribution_messages.h"
#include "core/configuration/object_store.h"
#include "core/configuration/random_source.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// The result of comparing a peer's digest with this VM's own.
enum class DigestComparison : std::uint8_t {
  // Both hold the same objects, and the peer's complete version is not below this VM's.
  kEqual,
  // The peer is complete through a higher version, or holds newer objects above this VM's complete version.
  kPeerIsNewer,
  // The peer may hold an object at or below this VM's complete version that this VM lacks, for example the tombstone of
  // a deletion that only a list revealed.
  kObjectsDiffer,
  // The peer lacks objects, or a complete version, that this VM has.
  kPeerIsOlder,
};

DigestComparison CompareDigests(const ConfigurationDigest& own, const ConfigurationDigest& peer);

// Synchronizes the object store with peers. VMs exchange digests; the VM whose digest is behind pulls the differences
// from the other, and a VM that receives an older digest replies with its own. Based on the timestamped anti-entropy of
// Golding and Long, "Using an object-oriented framework to construct wide-area group communication mechanisms" (1993).
// The platform's version replaces the timestamp vector, because it alone orders all changes.
class AntiEntropy {
 public:
  // All references must outlive the object.
  AntiEntropy(const Member& self, const DistributionConstants& constants, ObjectStore& store, RandomSource& random);

  void SetMembers(TimePoint now, const std::vector<Member>& members);
  void On(TimePoint now, const PeerDigestReceived& event, std::vector<DistributionAction>& actions);
  // Returns true when the store changed and peers should receive a new digest.
  bool On(TimePoint now, const DifferencesReceived& event);
  // Returns the highest version in the failed peer's digest, or 0 for a late event.
  ObjectVersion On(const DifferencesFailed& event);

  // Schedules an early digest to all VMs of this data centre.
  void SchedulePush(TimePoint now);

  // Returns the highest version in the digest of a peer whose pull timed out, or 0.
  ObjectVersion Run(TimePoint now, std::vector<DistributionAction>& actions);
  TimePoint NextDeadline() const;

  // The relays of a data centre among the members.
  std::vector<VmName> RelaysOf(const std::string& data_centre) const;
  std::vector<AppliedVersion> AppliedVersions() const;

 private:
  struct Peer {
    ConfigurationDigest digest;
    // The earliest time for the next reply to an older digest.
    TimePoint reply_not_before{};
  };

  struct Pull {
    // 0: no pull is pending.
    std::uint64_t id = 0;
    VmName peer;
    DifferencesRequest request;
    TimePoint deadline = kNever;
  };

  void CompareWithPeer(TimePoint now, const VmName& vm, std::vector<DistributionAction>& actions);
  void StartPull(TimePoint now, const VmName& vm, DifferencesRequest request, std::vector<DistributionAction>& actions);
  void SendDuePush(TimePoint now, std::vector<DistributionAction>& actions);
  void SendDueExchange(TimePoint now, std::vector<DistributionAction>& actions);
  std::optional<VmName> ExchangeTarget();
  Duration ExchangeInterval() const;
  ObjectVersion EndPull();

  const Member& self;
  const DistributionConstants& constants;
  ObjectStore& store;
  RandomSource& random;
  std::vector<Member> members;
  // The relays, without this VM, that it sends digests to: those of all data centres if it is a relay, otherwise those
  // of its own.
  std::vector<VmName> exchange_relays;
  std::map<VmName, Peer> peers;
  std::uint64_t next_id = 1;
  Pull pull;
  // The last reply was not complete; Run() requests the next page.
  bool continue_pull = false;
  // The peers whose digests arrived while a pull was pending and still have to be compared.
  std::set<VmName> peers_to_compare;
  TimePoint push_at = kNever;
  TimePoint push_not_before{};
  TimePoint exchange_at = kNever;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_ANTI_ENTROPY_H_
