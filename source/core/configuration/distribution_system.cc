#include "core/configuration/distribution_system.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::configuration {

DistributionSystem::DistributionSystem(Member self, ObjectStore& store, std::uint64_t seed,
                                       DistributionConstants constants)
    : self(std::move(self)),
      store(store),
      constants(std::move(constants)),
      jitter(seed),
      follower(this->constants, this->store, this->jitter),
      anti_entropy(this->self, this->constants, this->store, this->jitter) {}

std::vector<DistributionAction> DistributionSystem::Tick(TimePoint now, std::span<const DistributionEvent> events) {
  Step step{now, {}, false, 0};
  for (const DistributionEvent& event : events) {
    std::visit([this, &step](const auto& typed) { this->On(step, typed); }, event);
  }
  step.unreachable = std::max(step.unreachable, this->anti_entropy.Run(now, step.actions));
  if (step.unreachable != 0) {
    // Reopened at the complete version, the watch brings from the platform what the peer could not.
    this->follower.Suspect(now, step.unreachable, step.actions);
  }
  this->follower.Run(now, step.actions);
  if (step.news && this->follower.Active()) {
    this->anti_entropy.Push(now);
    this->anti_entropy.Run(now, step.actions);
  }
  std::erase_if(this->reads, [now](const Read& read) { return now >= read.deadline; });
  return std::move(step.actions);
}

TimePoint DistributionSystem::NextDeadline() const {
  TimePoint next = std::min(this->follower.NextDeadline(), this->anti_entropy.NextDeadline());
  for (const Read& read : this->reads) {
    next = std::min(next, read.deadline);
  }
  return next;
}

DifferencesAnswer DistributionSystem::Answer(const DifferencesRequest& request) const {
  return this->store.Differences(request, this->constants.differences_limit_bytes);
}

bool DistributionSystem::IsRelay() const { return this->follower.Active(); }

std::vector<VmName> DistributionSystem::RelaysOf(const std::string& data_centre) const {
  return this->anti_entropy.RelaysOf(data_centre);
}

std::vector<InForceEntry> DistributionSystem::InForce() const { return this->anti_entropy.InForce(); }

void DistributionSystem::On(Step& step, const MembersChanged& event) {
  this->anti_entropy.SetMembers(step.now, event.members);
  const std::vector<VmName> relays = this->RelaysOf(this->self.data_centre);
  if (std::find(relays.begin(), relays.end(), this->self.vm) != relays.end()) {
    this->follower.Start(step.now);
  } else {
    this->follower.Stop(step.actions);
  }
}

void DistributionSystem::On(Step& step, const PeerDigestReceived& event) {
  this->anti_entropy.On(step.now, event, step.actions);
}

void DistributionSystem::On(Step& step, const WatchAnswered& event) {
  step.news = this->follower.On(step.now, event) || step.news;
}

void DistributionSystem::On(Step& step, const WatchFailed& event) { this->follower.On(step.now, event); }

void DistributionSystem::On(Step& step, const ListAnswered& event) {
  step.news = this->follower.On(step.now, event) || step.news;
}

void DistributionSystem::On(Step& step, const ListFailed& event) { this->follower.On(step.now, event); }

void DistributionSystem::On(Step& step, const DifferencesReceived& event) {
  step.news = this->anti_entropy.On(step.now, event) || step.news;
}

void DistributionSystem::On(Step& step, const DifferencesFailed& event) {
  step.unreachable = std::max(step.unreachable, this->anti_entropy.On(event));
}

void DistributionSystem::On(Step& step, const NewerVersionSeen& event) {
  const PlatformObject* held = this->store.FindWithTombstone(event.kind, event.name);
  const bool known = held != nullptr && held->version >= event.version;
  const auto same = [&event](const Read& read) { return read.kind == event.kind && read.name == event.name; };
  const bool out = std::any_of(this->reads.begin(), this->reads.end(), same);
  if (known || out || this->reads.size() >= this->constants.maximum_reads) {
    return;
  }
  this->reads.push_back({event.kind, event.name, step.now + this->constants.call_timeout});
  step.actions.emplace_back(ReadObject{event.kind, event.name});
}

void DistributionSystem::On(Step& step, const ObjectLearned& event) {
  this->EndRead(event.object.kind, event.object.name);
  step.news = this->store.Apply(event.object) || step.news;
}

void DistributionSystem::On(Step&, const ReadFailed& event) { this->EndRead(event.kind, event.name); }

void DistributionSystem::EndRead(const std::string& kind, const std::string& name) {
  std::erase_if(this->reads, [&](const Read& read) { return read.kind == kind && read.name == name; });
}

}  // namespace amaranthlane::configuration
