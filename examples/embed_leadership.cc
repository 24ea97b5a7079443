// Embeds the leadership system without the daemon: three VMs in one process elect the leader of a database group.
//
// The program takes the place of the daemon: it delivers messages between the systems, simulates the platform's record
// and advances the clock. It exits with status 0 once a VM leads, or 1 if none does in time.

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/leadership/leadership_system.h"

namespace {

using amaranthlane::TimePoint;
using amaranthlane::VmName;
namespace leadership = amaranthlane::leadership;

constexpr char kGroup[] = "orders";
constexpr char kRegion[] = "region-1";
constexpr std::chrono::milliseconds kTickInterval{10};
constexpr int kMaxTicks = 1000;

// Three VMs, the messages between them and the leadership record on the platform.
class SimulatedCluster {
 public:
  SimulatedCluster() {
    for (const char* name : {"vm-1", "vm-2", "vm-3"}) {
      this->systems[name] = std::make_unique<leadership::LeadershipSystem>(leadership::Holder{name, 1},
                                                                           leadership::LeadershipSettings{}, this->now);
    }
    leadership::VmsChanged vms;
    for (const auto& [name, system] : this->systems) {
      vms.vms.push_back(leadership::VmView{name, 1, "data-centre-" + name, kRegion, true, false});
    }
    for (const auto& [name, system] : this->systems) {
      this->DeliverEvent(name, vms);
      this->DeliverEvent(name, leadership::GroupsChanged{{{kGroup, kRegion}}});
    }
  }

  // Advances the clock until a VM leads; empty when none does within kMaxTicks.
  std::optional<VmName> AwaitLeader() {
    for (int tick = 0; tick < kMaxTicks; ++tick) {
      this->now += kTickInterval;
      for (const auto& [name, system] : this->systems) {
        this->Run(name, {});
        if (system->ValidUntil(kGroup).value_or(TimePoint::min()) > this->now) {
          return name;
        }
      }
    }
    return std::nullopt;
  }

 private:
  void DeliverEvent(const VmName& vm, const leadership::Event& event) { this->Run(vm, {event}); }

  void Run(const VmName& vm, const std::vector<leadership::Event>& events) {
    for (const leadership::Action& action : this->systems.at(vm)->Tick(this->now, events)) {
      std::visit([this, &vm](const auto& typed_action) { this->Perform(vm, typed_action); }, action);
    }
  }

  void Perform(const VmName& vm, const leadership::SendGrantRequest& action) {
    this->reply_to = vm;
    this->DeliverEvent(action.witness, leadership::GrantRequestReceived{1, action.request});
  }
  void Perform(const VmName& /*vm*/, const leadership::SendGrantReply& action) {
    this->DeliverEvent(this->reply_to, leadership::GrantReplyReceived{this->now, action.reply});
  }
  void Perform(const VmName& vm, const leadership::SendCloseRequest& action) {
    this->reply_to = vm;
    this->DeliverEvent(action.witness, leadership::CloseRequestReceived{1, action.request});
  }
  void Perform(const VmName& /*vm*/, const leadership::SendCloseReply& action) {
    this->DeliverEvent(this->reply_to, leadership::CloseReplyReceived{this->now, action.reply});
  }
  void Perform(const VmName& vm, const leadership::UpdateRecord& action) {
    leadership::UpdateCompleted completed{action.group, action.record.update_id, leadership::UpdateResult::kConflict,
                                          this->version, this->record};
    if (action.expected_version == this->version) {
      this->record = action.record;
      completed = {action.group, action.record.update_id, leadership::UpdateResult::kApplied, ++this->version, {}};
    }
    this->DeliverEvent(vm, completed);
  }
  void Perform(const VmName& vm, const leadership::ReadRecord& action) {
    this->DeliverEvent(
        vm, leadership::RecordSeen{action.group, this->version, this->record, leadership::RecordSource::kPlatform});
  }
  void Perform(const VmName& vm, const leadership::BecameLeader& action) {
    std::cout << vm << " leads " << action.group << " in epoch " << action.ballot.epoch << '\n';
  }
  template <typename OtherAction>
  void Perform(const VmName& /*vm*/, const OtherAction& /*action*/) {}

  TimePoint now{std::chrono::hours(1)};
  std::map<VmName, std::unique_ptr<leadership::LeadershipSystem>> systems;
  VmName reply_to;
  amaranthlane::ObjectVersion version = 0;
  std::optional<leadership::LeadershipRecord> record;
};

}  // namespace

int main() {
  SimulatedCluster cluster;
  return cluster.AwaitLeader() ? 0 : 1;
}
