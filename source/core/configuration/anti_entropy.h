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

// What a peer's digest shows beside one's own.
enum class DigestComparison : std::uint8_t {
  // The same objects, and nothing to gain.
  kEqual,
  // The peer has changes above this VM's complete version.
  kPeerIsNewer,
  // The same versions are complete but the objects differ, as after a deletion that only a list revealed.
  kObjectsDiffer,
  // The peer lacks something that this VM has.
  kPeerIsOlder,
};

DigestComparison CompareDigests(const ConfigurationDigest& own, const ConfigurationDigest& peer);

// Exchanges digests and differences with peers. The VM whose digest shows less pulls from the other, and a VM that
// receives a lower digest answers with its own. After the timestamped anti-entropy of Golding and Long, "Using an
// object-oriented framework to construct wide-area group communication mechanisms" (1993); the platform's version takes
// the place of the vector of timestamps, since it alone orders all changes.
class AntiEntropy {
 public:
  // All references must outlive the object.
  AntiEntropy(const Member& self, const DistributionConstants& constants, ObjectStore& store, RandomSource& random);

  void SetMembers(TimePoint now, const std::vector<Member>& members);
  void On(TimePoint now, const PeerDigestReceived& event, std::vector<DistributionAction>& actions);
  // Returns whether there is news to push to peers.
  bool On(TimePoint now, const DifferencesReceived& event);
  // The version that the failed peer showed, or 0 for a late event.
  ObjectVersion On(const DifferencesFailed& event);

  // Asks for an early digest to the whole data centre.
  void SchedulePush(TimePoint now);

  // Returns the version that a peer showed whose pull ran out of time, or 0.
  ObjectVersion Run(TimePoint now, std::vector<DistributionAction>& actions);
  TimePoint NextDeadline() const;

  // The relays of a data centre among the members.
  std::vector<VmName> RelaysOf(const std::string& data_centre) const;
  std::vector<InForceEntry> InForce() const;

 private:
  struct Peer {
    ConfigurationDigest digest;
    // This VM's digest is sent in answer to a lower one no earlier.
    TimePoint reply_not_before{};
  };

  struct Pull {
    // 0: no pull is out.
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
  // The other VMs that a relay exchanges with, and the relays that others do.
  std::vector<VmName> exchange_relays;
  std::map<VmName, Peer> peers;
  std::uint64_t next_id = 1;
  Pull pull;
  // A page of differences ended with more to come; the next request goes out on the next run.
  bool continue_pull = false;
  // The peers whose digests are yet to be compared.
  std::set<VmName> peers_to_compare;
  TimePoint push_at = kNever;
  TimePoint push_not_before{};
  TimePoint exchange_at = kNever;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_ANTI_ENTROPY_H_
