#include "core/configuration/anti_entropy.h"

#include <algorithm>
#include <string>
#include <utility>

namespace amaranthlane::configuration {

namespace {

const KindDigest* FindKind(const ConfigurationDigest& digest, const std::string& kind) {
  for (const KindDigest& candidate : digest.kinds) {
    if (candidate.kind == kind) {
      return &candidate;
    }
  }
  return nullptr;
}

ObjectVersion HighestVersionOf(const ConfigurationDigest& digest, const std::string& kind) {
  const KindDigest* found = FindKind(digest, kind);
  return found == nullptr ? 0 : found->highest_version;
}

ObjectVersion HighestVersionOf(const ConfigurationDigest& digest) {
  ObjectVersion highest = 0;
  for (const KindDigest& kind : digest.kinds) {
    highest = std::max(highest, kind.highest_version);
  }
  return highest;
}

// True when the peer's highest version of some kind is above this VM's own and above `min_version`.
bool HasNewerKind(const ConfigurationDigest& own, const ConfigurationDigest& peer, ObjectVersion min_version) {
  return std::any_of(peer.kinds.begin(), peer.kinds.end(), [&](const KindDigest& kind) {
    return kind.highest_version > std::max(min_version, HighestVersionOf(own, kind.kind));
  });
}

}  // namespace

DigestComparison CompareDigests(const ConfigurationDigest& own, const ConfigurationDigest& peer) {
  if (own.kinds == peer.kinds) {
    return peer.complete_through < own.complete_through ? DigestComparison::kPeerIsOlder : DigestComparison::kEqual;
  }
  if (peer.complete_through > own.complete_through || HasNewerKind(own, peer, own.complete_through)) {
    return DigestComparison::kPeerIsNewer;
  }
  if (peer.complete_through == own.complete_through || HasNewerKind(own, peer, 0)) {
    return DigestComparison::kObjectsDiffer;
  }
  return DigestComparison::kPeerIsOlder;
}

AntiEntropy::AntiEntropy(const Member& self, const DistributionConstants& constants, ObjectStore& store,
                         RandomSource& random)
    : self(self), constants(constants), store(store), random(random) {}

void AntiEntropy::SetMembers(TimePoint now, const std::vector<Member>& members) {
  this->members = members;
  std::set<VmName> alive;
  std::set<std::string> data_centres;
  for (const Member& member : members) {
    alive.insert(member.vm);
    data_centres.insert(member.data_centre);
  }
  std::erase_if(this->peers, [&alive](const auto& entry) { return !alive.contains(entry.first); });
  const std::vector<VmName> own_relays = this->RelaysOf(this->self.data_centre);
  const bool is_relay = std::find(own_relays.begin(), own_relays.end(), this->self.vm) != own_relays.end();
  this->exchange_relays.clear();
  for (const std::string& data_centre : data_centres) {
    // Relays exchange changes between data centres; other VMs use the relays of their own.
    if (is_relay || data_centre == this->self.data_centre) {
      const std::vector<VmName> relays = this->RelaysOf(data_centre);
      this->exchange_relays.insert(this->exchange_relays.end(), relays.begin(), relays.end());
    }
  }
  std::erase(this->exchange_relays, this->self.vm);
  this->exchange_at = std::min(this->exchange_at, now + this->random.DelayUpTo(this->ExchangeInterval()));
}

void AntiEntropy::On(TimePoint now, const PeerDigestReceived& event, std::vector<DistributionAction>& actions) {
  if (event.vm == this->self.vm) {
    return;
  }
  this->peers[event.vm].digest = event.digest;
  if (this->pull.id == 0) {
    this->CompareWithPeer(now, event.vm, actions);
  } else {
    this->peers_to_compare.insert(event.vm);
  }
}

bool AntiEntropy::On(TimePoint, const DifferencesReceived& event) {
  bool changed = false;
  for (const PlatformObject& object : event.reply.objects) {
    changed = this->store.Apply(object) || changed;
  }
  if (event.id != this->pull.id || this->pull.id == 0) {
    return changed;
  }
  // The reply to a request by buckets does not cover the kinds that the request left out.
  const bool all_kinds = this->pull.request.buckets.empty();
  if (all_kinds && this->pull.request.after <= this->store.CompleteThrough()) {
    this->store.AdvanceCompleteThrough(event.reply.complete_through);
  }
  this->continue_pull = event.reply.more && !event.reply.objects.empty();
  if (this->continue_pull) {
    this->pull.request.after = event.reply.objects.back().version;
  } else {
    this->EndPull();
  }
  return changed;
}

ObjectVersion AntiEntropy::On(const DifferencesFailed& event) {
  return event.id == this->pull.id && this->pull.id != 0 ? this->EndPull() : 0;
}

void AntiEntropy::SchedulePush(TimePoint now) {
  this->push_at = std::min(this->push_at, std::max(now, this->push_not_before));
}

ObjectVersion AntiEntropy::Run(TimePoint now, std::vector<DistributionAction>& actions) {
  ObjectVersion unavailable_version = 0;
  if (this->pull.id != 0 && now >= this->pull.deadline) {
    unavailable_version = this->EndPull();
  }
  if (this->continue_pull) {
    this->continue_pull = false;
    this->StartPull(now, this->pull.peer, this->pull.request, actions);
  }
  while (this->pull.id == 0 && !this->peers_to_compare.empty()) {
    const VmName vm = *this->peers_to_compare.begin();
    this->peers_to_compare.erase(this->peers_to_compare.begin());
    this->CompareWithPeer(now, vm, actions);
  }
  this->SendDuePush(now, actions);
  this->SendDueExchange(now, actions);
  return unavailable_version;
}

TimePoint AntiEntropy::NextDeadline() const {
  return std::min({this->pull.deadline, this->push_at, this->exchange_at});
}

std::vector<VmName> AntiEntropy::RelaysOf(const std::string& data_centre) const {
  return SelectRelays(this->members, data_centre);
}

std::vector<AppliedVersion> AntiEntropy::AppliedVersions() const {
  std::vector<AppliedVersion> entries;
  for (const Member& member : this->members) {
    const auto found = this->peers.find(member.vm);
    ObjectVersion version = found == this->peers.end() ? 0 : found->second.digest.complete_through;
    if (member.vm == this->self.vm) {
      version = this->store.CompleteThrough();
    }
    entries.push_back({member.vm, member.data_centre, version});
  }
  return entries;
}

void AntiEntropy::CompareWithPeer(TimePoint now, const VmName& vm, std::vector<DistributionAction>& actions) {
  Peer& peer = this->peers[vm];
  const ConfigurationDigest own = this->store.Digest();
  switch (CompareDigests(own, peer.digest)) {
    case DigestComparison::kEqual:
      // Equal objects are complete through the higher of both complete versions.
      this->store.AdvanceCompleteThrough(peer.digest.complete_through);
      break;
    case DigestComparison::kPeerIsNewer:
      this->StartPull(now, vm, {this->self.vm, own.complete_through, {}}, actions);
      break;
    case DigestComparison::kObjectsDiffer: {
      DifferencesRequest request{this->self.vm, 0, {}};
      for (const KindDigest& kind : peer.digest.kinds) {
        const KindDigest* own_kind = FindKind(own, kind.kind);
        if (own_kind == nullptr || *own_kind != kind) {
          request.buckets.push_back(this->store.Buckets(kind.kind));
        }
      }
      if (!request.buckets.empty()) {
        this->StartPull(now, vm, std::move(request), actions);
      }
      break;
    }
    case DigestComparison::kPeerIsOlder:
      if (now >= peer.reply_not_before) {
        peer.reply_not_before = now + this->constants.exchange_interval;
        actions.emplace_back(SendDigest{{vm}, false});
      }
      break;
  }
}

void AntiEntropy::StartPull(TimePoint now, const VmName& vm, DifferencesRequest request,
                            std::vector<DistributionAction>& actions) {
  this->pull = {this->next_id++, vm, std::move(request), now + this->constants.call_timeout};
  actions.emplace_back(PullDifferences{this->pull.id, vm, this->pull.request});
}

void AntiEntropy::SendDuePush(TimePoint now, std::vector<DistributionAction>& actions) {
  if (now < this->push_at) {
    return;
  }
  this->push_at = kNever;
  this->push_not_before = now + this->constants.push_interval;
  SendDigest digest;
  for (const Member& member : this->members) {
    if (member.data_centre == this->self.data_centre && member.vm != this->self.vm) {
      digest.to.push_back(member.vm);
    }
  }
  if (!digest.to.empty()) {
    actions.emplace_back(std::move(digest));
  }
}

void AntiEntropy::SendDueExchange(TimePoint now, std::vector<DistributionAction>& actions) {
  if (now < this->exchange_at) {
    return;
  }
  // Half of the interval is random, so that VMs that started together do not stay synchronized.
  const Duration half = this->ExchangeInterval() / 2;
  this->exchange_at = now + half + this->random.DelayUpTo(half);
  if (std::optional<VmName> target = this->ExchangeTarget()) {
    actions.emplace_back(SendDigest{{*std::move(target)}, true});
  }
}

std::optional<VmName> AntiEntropy::ExchangeTarget() {
  const bool any_member = this->random.IndexBelow(this->constants.any_member_one_in) == 0;
  if (!any_member && !this->exchange_relays.empty()) {
    return this->exchange_relays[this->random.IndexBelow(this->exchange_relays.size())];
  }
  if (this->members.empty()) {
    return std::nullopt;
  }
  const Member& member = this->members[this->random.IndexBelow(this->members.size())];
  return member.vm == this->self.vm ? std::nullopt : std::optional(member.vm);
}

Duration AntiEntropy::ExchangeInterval() const {
  const auto same_data_centre = [this](const Member& member) { return member.data_centre == this->self.data_centre; };
  const auto senders = std::count_if(this->members.begin(), this->members.end(), same_data_centre);
  const Duration min_relay_interval =
      Duration(std::chrono::seconds(senders)) /
      static_cast<Duration::rep>(this->constants.digests_per_relay_per_s * kRelaysPerDataCentre);
  return std::max<Duration>(this->constants.exchange_interval, min_relay_interval);
}

// Returns the highest version in the digest of the pull's peer.
ObjectVersion AntiEntropy::EndPull() {
  const auto found = this->peers.find(this->pull.peer);
  const ObjectVersion highest_shown = found == this->peers.end() ? 0 : HighestVersionOf(found->second.digest);
  this->pull = {};
  this->continue_pull = false;
  return highest_shown;
}

}  // namespace amaranthlane::configuration
