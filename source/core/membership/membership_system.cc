#include "core/membership/membership_system.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/membership/heartbeat_sender.h"
#include "core/membership/liveness.h"

namespace amaranthlane::membership {

namespace {

// Passes each event to the function that applies it.
struct EventHandler {
  MembershipTables& tables;
  TimePoint now;

  void operator()(const HeartbeatReceived& event) const { ApplyHeartbeat(this->tables, this->now, event.heartbeat); }
  void operator()(const PlatformListReceived& event) const { ApplyPlatformList(this->tables, event); }
  void operator()(const SeedsConfigured& event) const {
    this->tables.seeds = {event.addresses.begin(), event.addresses.end()};
  }
  void operator()(const HeartbeatPeersChanged& event) const { ApplyHeartbeatPeers(this->tables, this->now, event); }
  void operator()(const DrainStarted&) const {
    this->tables.state = VmState::kLeaving;
    // All VMs should learn of it at once.
    this->tables.next_heartbeat = this->now;
    this->tables.next_gossip = this->now;
  }
};

}  // namespace

MembershipSystem::MembershipSystem(Self self, MembershipSettings settings, TimePoint started_at) {
  this->tables.self = std::move(self);
  this->tables.settings = settings;
  this->tables.last_tick = started_at;
  this->tables.next_heartbeat = started_at;
  this->tables.next_gossip = started_at;
}

std::vector<Action> MembershipSystem::Tick(TimePoint now, std::span<const Event> events) {
  MembershipTables& tables = this->tables;
  ExtendDeadlinesAfterPause(tables, now);
  const EventHandler handler{tables, now};
  for (const Event& event : events) {
    std::visit(handler, event);
  }
  UpdateLiveness(tables, now);
  SendDueHeartbeats(tables, now);
  if (std::exchange(tables.changed, false)) {
    tables.actions.emplace_back(MembershipChanged{});
  }
  return std::exchange(tables.actions, {});
}

TimePoint MembershipSystem::NextDeadline() const {
  TimePoint next = this->tables.next_heartbeat;
  for (const auto& [name, row] : this->tables.vms) {
    const bool suspected = row.liveness == Liveness::kSuspected;
    const TimePoint due = suspected ? row.dead_at : row.suspect_at;
    if (suspected || row.liveness == Liveness::kLive) {
      next = std::min(next, due);
    }
  }
  return next;
}

Heartbeat MembershipSystem::ReplyTo(const Heartbeat& heartbeat) const {
  const bool with_address = !heartbeat.sender.address.empty();
  return {.sender = OwnEntry(this->tables, with_address), .digest = {}};
}

}  // namespace amaranthlane::membership
