#ifndef AMARANTHLANE_CORE_LEADERSHIP_FLEET_H_
#define AMARANTHLANE_CORE_LEADERSHIP_FLEET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/leadership/leadership_system.h"

// Simulates several leadership systems, with a clock for each VM, and a network and a platform that fail as configured.
namespace amaranthlane::leadership {

// True time: times and durations on the simulation's own clock, which starts at 0.
using TrueTime = std::chrono::nanoseconds;

// The current behaviour of the network and the platform.
struct Conditions {
  double loss = 0.0;
  double duplication = 0.0;
  TrueTime max_delay = std::chrono::milliseconds(5);
  bool platform_outage = false;
  double platform_reply_loss = 0.0;
};

// One VM with its clock and its process.
struct Node {
  VmName vm;
  // The VM's clock reads offset + rate * true time.
  TrueTime clock_offset{0};
  double clock_rate = 1.0;
  Incarnation incarnation = 0;
  bool up = false;
  bool leaving = false;
  TrueTime paused_until{0};
  // Disconnected from all other VMs, though not from the platform.
  TrueTime isolated_until{0};
  // Until then the VM's outgoing messages, or its incoming ones, are lost.
  TrueTime outbound_cut_until{0};
  TrueTime inbound_cut_until{0};
  std::unique_ptr<LeadershipSystem> system;
  std::vector<Event> inbox;
  std::uint64_t wake_generation = 0;
  std::map<VmName, TrueTime> last_heard;
  std::vector<VmView> view;
};

class Fleet {
 public:
  Fleet(std::size_t vms, std::vector<GroupName> groups, std::uint64_t seed, LeadershipSettings settings = {});

  // Runs the simulation until `until`, executing everything that falls due.
  void RunUntil(TrueTime until);
  void RunFor(TrueTime length) { this->RunUntil(this->now + length); }
  // Runs `action` at `when`.
  void Schedule(TrueTime when, std::function<void()> action);

  void Start(std::size_t index);
  void Kill(std::size_t index);
  void Pause(std::size_t index, TrueTime length);
  void Isolate(std::size_t index, TrueTime length);
  void Drain(std::size_t index);

  // The VMs that would act as leader of `group` now, paused ones included.
  std::vector<std::size_t> ValidLeaders(const GroupName& group) const;
  // The only valid leader; empty when there is none.
  std::optional<std::size_t> Leader(const GroupName& group) const;

  Conditions conditions;
  TrueTime now{0};
  std::vector<Node> nodes;
  std::vector<GroupName> groups;
  // When each group last had a valid leader.
  std::map<GroupName, TrueTime> last_led;
  std::uint64_t platform_writes = 0;
  // Describes the first time at which two VMs were valid leaders of one group; empty if that never happened.
  std::optional<std::string> violation;

 private:
  struct PlatformObject {
    ObjectVersion version = 0;
    std::optional<LeadershipRecord> record;
  };
  using Reply = std::function<void(const Event&)>;

  TimePoint Clock(const Node& node) const;
  bool Connected(const Node& from, const Node& to) const;
  bool RandomBool(double probability);
  TrueTime RandomDelay();
  void Transmit(const VmName& from, const VmName& to, const std::function<void()>& arrive);
  void Deliver(const VmName& vm, Incarnation incarnation, Event event);
  void Tick(Node& node);
  void Execute(Node& node, const Action& action);
  void TransmitGrantRequest(Node& node, const SendGrantRequest& action);
  void TransmitCloseRequest(Node& node, const SendCloseRequest& action);
  void Update(Node& node, const UpdateRecord& action);
  void Read(Node& node, const ReadRecord& action);
  void Publish(const GroupName& group);
  void ExchangeHeartbeats();
  void CheckSafety();
  Node& Find(const VmName& vm);

  LeadershipSettings settings;
  std::mt19937_64 random;
  std::multimap<TrueTime, std::function<void()>> queue;
  std::map<GroupName, PlatformObject> platform;
  ObjectVersion platform_version = 0;
  std::uint64_t next_reply_id = 0;
  std::map<std::uint64_t, Reply> replies;
};

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_FLEET_H_
