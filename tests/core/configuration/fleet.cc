#include "core/configuration/fleet.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::configuration {

namespace {

constexpr std::chrono::milliseconds kStep{10};

}  // namespace

SimulatedFleet::SimulatedFleet(std::size_t data_centres, std::size_t vms_each, std::uint64_t seed) : seed(seed) {
  for (std::size_t i = 0; i < data_centres * vms_each; ++i) {
    const std::string data_centre = "dc-" + std::to_string(i % data_centres);
    const Member member{data_centre + "-" + std::to_string(i), data_centre};
    this->vms[member.vm] = std::make_unique<SimulatedVm>(member, seed + i);
  }
  this->NotifyMembers();
}

ObjectVersion SimulatedFleet::Put(const std::string& kind, const std::string& name, bool deleted) {
  ++this->version;
  const nlohmann::json value = deleted ? nlohmann::json() : nlohmann::json{{"v", this->version}};
  this->objects[kind][name] = {kind, name, this->version, deleted, value};
  return this->version;
}

void SimulatedFleet::EraseWithoutTombstone(const std::string& kind, const std::string& name) {
  ++this->version;
  this->objects[kind].erase(name);
}

void SimulatedFleet::Add(const Member& member) {
  this->vms[member.vm] = std::make_unique<SimulatedVm>(member, this->seed + this->vms.size());
  this->NotifyMembers();
}

void SimulatedFleet::FailWatches() {
  for (const PendingWatch& watch : this->watches) {
    this->vms.at(watch.vm)->inbox.emplace_back(WatchFailed{watch.call.id});
  }
  this->watches.clear();
}

void SimulatedFleet::LoseWatches(const std::vector<VmName>& vms) {
  std::erase_if(this->watches,
                [&vms](const PendingWatch& watch) { return std::find(vms.begin(), vms.end(), watch.vm) != vms.end(); });
}

void SimulatedFleet::Step() {
  this->now += kStep;
  this->AnswerWatches();
  std::vector<std::pair<SimulatedVm*, DistributionAction>> actions;
  for (auto& [name, vm] : this->vms) {
    if (vm->inbox.empty() && this->now < vm->system.NextDeadline()) {
      continue;
    }
    const std::vector<DistributionEvent> events = std::exchange(vm->inbox, {});
    for (DistributionAction& action : vm->system.Tick(this->now, events)) {
      actions.emplace_back(vm.get(), std::move(action));
    }
  }
  for (auto& [vm, action] : actions) {
    std::visit([this, vm = vm](const auto& typed) { this->Perform(*vm, typed); }, action);
  }
}

std::chrono::milliseconds SimulatedFleet::RunUntil(const std::function<bool()>& done,
                                                   std::chrono::milliseconds timeout) {
  const TimePoint start = this->now;
  while (!done() && this->now - start < timeout) {
    this->Step();
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(this->now - start);
}

bool SimulatedFleet::AppliedEverywhere(ObjectVersion version) const {
  return std::all_of(this->vms.begin(), this->vms.end(),
                     [version](const auto& entry) { return entry.second->store.CompleteThrough() >= version; });
}

bool SimulatedFleet::Converged() const {
  const ConfigurationDigest first = this->vms.begin()->second->store.Digest();
  return std::all_of(this->vms.begin(), this->vms.end(),
                     [&first](const auto& entry) { return entry.second->store.Digest().kinds == first.kinds; });
}

bool SimulatedFleet::CompleteVersionsHold() const {
  for (const auto& [name, vm] : this->vms) {
    for (const auto& [kind, table] : this->objects) {
      for (const auto& [object_name, object] : table) {
        const PlatformObject* held = vm->store.FindWithTombstone(kind, object_name);
        const ObjectVersion version = held == nullptr ? 0 : held->version;
        if (object.version <= vm->store.CompleteThrough() && version < object.version) {
          return false;
        }
      }
    }
  }
  return true;
}

void SimulatedFleet::Perform(SimulatedVm& vm, const OpenWatch& action) {
  ++this->watch_calls;
  if (this->platform_up) {
    this->watches.push_back({vm.member.vm, action, this->now + action.wait});
  } else {
    vm.inbox.emplace_back(WatchFailed{action.id});
  }
}

void SimulatedFleet::Perform(SimulatedVm& vm, const CloseWatch& action) {
  std::erase_if(this->watches,
                [&](const PendingWatch& watch) { return watch.vm == vm.member.vm && watch.call.id == action.id; });
}

void SimulatedFleet::Perform(SimulatedVm& vm, const ListObjects& action) {
  ++this->read_calls;
  if (!this->platform_up) {
    vm.inbox.emplace_back(ListFailed{action.id});
    return;
  }
  ListSucceeded response{action.id, action.kind, this->version, {}};
  for (const auto& [name, object] : this->objects[action.kind]) {
    response.objects.push_back(object);
  }
  vm.inbox.emplace_back(std::move(response));
}

void SimulatedFleet::Perform(SimulatedVm& vm, const ReadObject& action) {
  ++this->read_calls;
  vm.inbox.emplace_back(ObjectReceived{this->objects[action.kind][action.name]});
}

void SimulatedFleet::Perform(SimulatedVm& vm, const SendDigest& action) {
  for (const VmName& to : action.to) {
    if (this->is_delivered(vm.member.vm, to)) {
      this->vms.at(to)->inbox.emplace_back(PeerDigestReceived{vm.member.vm, vm.store.Digest()});
    }
  }
}

void SimulatedFleet::Perform(SimulatedVm& vm, const PullDifferences& action) {
  if (this->is_delivered(vm.member.vm, action.peer) && this->is_delivered(action.peer, vm.member.vm)) {
    const DifferencesReply reply = this->vms.at(action.peer)->system.ReplyTo(action.request);
    vm.inbox.emplace_back(DifferencesReceived{action.id, action.peer, reply});
  }
}

void SimulatedFleet::AnswerWatches() {
  std::vector<PendingWatch> waiting;
  for (PendingWatch& watch : this->watches) {
    WatchSucceeded response{watch.call.id, this->version, {}};
    for (const auto& [kind, table] : this->objects) {
      for (const auto& [name, object] : table) {
        if (object.version > watch.call.after) {
          response.objects.push_back(object);
        }
      }
    }
    if (response.objects.empty() && this->now < watch.deadline) {
      waiting.push_back(std::move(watch));
    } else {
      this->vms.at(watch.vm)->inbox.emplace_back(std::move(response));
    }
  }
  this->watches = std::move(waiting);
}

void SimulatedFleet::NotifyMembers() {
  MembersChanged members;
  for (const auto& [name, vm] : this->vms) {
    members.members.push_back(vm->member);
  }
  for (auto& [name, vm] : this->vms) {
    vm->inbox.emplace_back(members);
  }
}

}  // namespace amaranthlane::configuration
