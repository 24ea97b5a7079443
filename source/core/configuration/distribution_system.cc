#include "core/configuration/distribution_system.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::configuration {

DistributionSystem::DistributionSystem(Member self, ObjectStore& store, std::uint64_t seed,
                                       DistributionConstants constants)
    : self(std::move(self)),
      store(store),
      constants(std::move(constants)),
      random(seed),
      platform_watcher(this->constants, this->store, this->random),
      anti_entropy(this->self, this->constants, this->store, this->random) {}

std::vector<DistributionAction> DistributionSystem::Tick(TimePoint now, std::span<const DistributionEvent> events) {
  Step step{now, {}, false, 0};
  for (const DistributionEvent& event : events) {
    std::visit([this, &step](const auto& typed) { this->On(step, typed); }, event);
  }
  step.unavailable_version = std::max(step.unavailable_version, this->anti_entropy.Run(now, step.actions));
  if (step.unavailable_version != 0) {
    // A watch reopened at the complete version delivers the objects from the platform that the peer could not.
    this->platform_watcher.ReopenIfBehind(now, step.unavailable_version, step.actions);
  }
  this->platform_watcher.Run(now, step.actions);
  if (step.notify_peers && this->platform_watcher.Active()) {
    this->anti_entropy.SchedulePush(now);
    this->anti_entropy.Run(now, step.actions);
  }
  std::erase_if(this->reads, [now](const Read& read) { return now >= read.deadline; });
  return std::move(step.actions);
}

TimePoint DistributionSystem::NextDeadline() const {
  TimePoint next = std::min(this->platform_watcher.NextDeadline(), this->anti_entropy.NextDeadline());
  for (const Read& read : this->reads) {
    next = std::min(next, read.deadline);
  }
  return next;
}

DifferencesReply DistributionSystem::ReplyTo(const DifferencesRequest& request) const {
  return this->store.Differences(request, this->constants.differences_limit_bytes);
}

bool DistributionSystem::IsRelay() const { return this->platform_watcher.Active(); }

std::vector<VmName> DistributionSystem::RelaysOf(const std::string& data_centre) const {
  return this->anti_entropy.RelaysOf(data_centre);
}

std::vector<AppliedVersion> DistributionSystem::AppliedVersions() const { return this->anti_entropy.AppliedVersions(); }

void DistributionSystem::On(Step& step, const MembersChanged& event) {
  this->anti_entropy.SetMembers(step.now, event.members);
  const std::vector<VmName> relays = this->RelaysOf(this->self.data_centre);
  if (std::find(relays.begin(), relays.end(), this->self.vm) != relays.end()) {
    this->platform_watcher.Start(step.now);
  } else {
    this->platform_watcher.Stop(step.actions);
  }
}

void DistributionSystem::On(Step& step, const PeerDigestReceived& event) {
  this->anti_entropy.On(step.now, event, step.actions);
}

void DistributionSystem::On(Step& step, const WatchSucceeded& event) {
  step.notify_peers = this->platform_watcher.On(step.now, event) || step.notify_peers;
}

void DistributionSystem::On(Step& step, const WatchFailed& event) { this->platform_watcher.On(step.now, event); }

void DistributionSystem::On(Step& step, const ListSucceeded& event) {
  step.notify_peers = this->platform_watcher.On(step.now, event) || step.notify_peers;
}

void DistributionSystem::On(Step& step, const ListFailed& event) { this->platform_watcher.On(step.now, event); }

void DistributionSystem::On(Step& step, const DifferencesReceived& event) {
  step.notify_peers = this->anti_entropy.On(step.now, event) || step.notify_peers;
}

void DistributionSystem::On(Step& step, const DifferencesFailed& event) {
  step.unavailable_version = std::max(step.unavailable_version, this->anti_entropy.On(event));
}

void DistributionSystem::On(Step& step, const NewerVersionSeen& event) {
  const PlatformObject* held = this->store.FindWithTombstone(event.kind, event.name);
  const bool up_to_date = held != nullptr && held->version >= event.version;
  const auto same = [&event](const Read& read) { return read.kind == event.kind && read.name == event.name; };
  const bool pending = std::any_of(this->reads.begin(), this->reads.end(), same);
  if (up_to_date || pending || this->reads.size() >= this->constants.max_pending_reads) {
    return;
  }
  this->reads.push_back({event.kind, event.name, step.now + this->constants.call_timeout});
  step.actions.emplace_back(ReadObject{event.kind, event.name});
}

void DistributionSystem::On(Step& step, const ObjectReceived& event) {
  this->EndRead(event.object.kind, event.object.name);
  step.notify_peers = this->store.Apply(event.object) || step.notify_peers;
}

void DistributionSystem::On(Step&, const ReadFailed& event) { this->EndRead(event.kind, event.name); }

void DistributionSystem::EndRead(const std::string& kind, const std::string& name) {
  std::erase_if(this->reads, [&](const Read& read) { return read.kind == kind && read.name == name; });
}

}  // namespace amaranthlane::configuration
