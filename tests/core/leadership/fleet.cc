#include "core/leadership/fleet.h"

#include <algorithm>
#include <array>
#include <utility>

namespace amaranthlane::leadership {

namespace {

using std::chrono::milliseconds;

constexpr TrueTime kHeartbeatInterval = milliseconds(200);
constexpr TrueTime kLivenessTimeout = milliseconds(1000);
constexpr TrueTime kMaxClockOffset = std::chrono::hours(10);
constexpr double kMaxClockDrift = 0.01;
constexpr std::array<const char*, 3> kDataCentres = {"dub-a", "dub-b", "dub-c"};

}  // namespace

Fleet::Fleet(std::size_t vms, std::vector<GroupName> groups, std::uint64_t seed, LeadershipSettings settings)
    : groups(std::move(groups)), settings(settings), random(seed) {
  std::uniform_real_distribution<double> drift(-kMaxClockDrift, kMaxClockDrift);
  std::uniform_int_distribution<TrueTime::rep> offset(TrueTime(milliseconds(1)).count(), kMaxClockOffset.count());
  for (std::size_t index = 0; index < vms; ++index) {
    Node node;
    node.vm = "vm-" + std::to_string(index);
    node.clock_offset = TrueTime(offset(this->random));
    node.clock_rate = 1.0 + drift(this->random);
    this->nodes.push_back(std::move(node));
  }
  for (std::size_t index = 0; index < vms; ++index) {
    this->Start(index);
  }
  this->ExchangeHeartbeats();
}

void Fleet::Schedule(TrueTime when, std::function<void()> action) { this->queue.emplace(when, std::move(action)); }

void Fleet::RunUntil(TrueTime until) {
  while (!this->queue.empty() && this->queue.begin()->first <= until) {
    const auto next = this->queue.begin();
    this->now = std::max(this->now, next->first);
    const std::function<void()> action = std::move(next->second);
    this->queue.erase(next);
    action();
    this->CheckSafety();
  }
  this->now = until;
}

void Fleet::Start(std::size_t index) {
  Node& node = this->nodes[index];
  if (node.up) {
    return;
  }
  node.up = true;
  node.leaving = false;
  ++node.incarnation;
  node.paused_until = TrueTime(0);
  node.inbox.clear();
  node.view.clear();
  node.last_heard.clear();
  node.system =
      std::make_unique<LeadershipSystem>(Holder{node.vm, node.incarnation}, this->settings, this->Clock(node));
  GroupsChanged changed;
  for (const GroupName& group : this->groups) {
    changed.groups.push_back({.group = group, .region = "eu-west-dub"});
  }
  this->Deliver(node.vm, node.incarnation, changed);
}

void Fleet::Kill(std::size_t index) {
  this->nodes[index].up = false;
  this->nodes[index].system.reset();
}

void Fleet::Pause(std::size_t index, TrueTime length) {
  Node& node = this->nodes[index];
  node.paused_until = std::max(node.paused_until, this->now + length);
  this->Schedule(node.paused_until, [this, index] {
    if (this->nodes[index].up) {
      this->Tick(this->nodes[index]);
    }
  });
}

void Fleet::Isolate(std::size_t index, TrueTime length) { this->nodes[index].isolated_until = this->now + length; }

void Fleet::Drain(std::size_t index) {
  Node& node = this->nodes[index];
  node.leaving = true;
  this->Deliver(node.vm, node.incarnation, DrainStarted{});
}

std::vector<std::size_t> Fleet::ValidLeaders(const GroupName& group) const {
  std::vector<std::size_t> valid;
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    const Node& node = this->nodes[index];
    const std::optional<TimePoint> until = node.up ? node.system->ValidUntil(group) : std::nullopt;
    if (until && this->Clock(node) < *until) {
      valid.push_back(index);
    }
  }
  return valid;
}

std::optional<std::size_t> Fleet::Leader(const GroupName& group) const {
  const std::vector<std::size_t> valid = this->ValidLeaders(group);
  return valid.size() == 1 ? std::optional(valid.front()) : std::nullopt;
}

TimePoint Fleet::Clock(const Node& node) const {
  const double elapsed = static_cast<double>(this->now.count()) * node.clock_rate;
  return TimePoint(node.clock_offset + TrueTime(static_cast<TrueTime::rep>(elapsed)));
}

bool Fleet::Connected(const Node& from, const Node& to) const {
  const bool isolated = this->now < from.isolated_until || this->now < to.isolated_until;
  const bool one_way = this->now < from.outbound_cut_until || this->now < to.inbound_cut_until;
  return from.up && to.up && (from.vm == to.vm || (!isolated && !one_way));
}

bool Fleet::RandomBool(double probability) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < probability;
}

TrueTime Fleet::RandomDelay() {
  const TrueTime longest = std::max(this->conditions.max_delay, TrueTime(1));
  return TrueTime(std::uniform_int_distribution<TrueTime::rep>(1, longest.count())(this->random));
}

void Fleet::Transmit(const VmName& from, const VmName& to, const std::function<void()>& arrive) {
  if (this->RandomBool(this->conditions.loss) || !this->Connected(this->Find(from), this->Find(to))) {
    return;
  }
  this->Schedule(this->now + this->RandomDelay(), arrive);
  if (this->RandomBool(this->conditions.duplication)) {
    this->Schedule(this->now + this->RandomDelay(), arrive);
  }
}

// Delivers to one process: a later process on the same VM receives nothing.
void Fleet::Deliver(const VmName& vm, Incarnation incarnation, Event event) {
  Node& node = this->Find(vm);
  if (!node.up || node.incarnation != incarnation) {
    return;
  }
  node.inbox.push_back(std::move(event));
  this->Tick(node);
}

void Fleet::Tick(Node& node) {
  if (this->now < node.paused_until) {
    return;
  }
  const std::vector<Event> events = std::exchange(node.inbox, {});
  const std::vector<Action> actions = node.system->Tick(this->Clock(node), events);
  const std::uint64_t generation = ++node.wake_generation;
  const TimePoint deadline = node.system->NextDeadline();
  for (const Action& action : actions) {
    this->Execute(node, action);
  }
  if (deadline == kNever) {
    return;
  }
  const double wait = static_cast<double>((deadline - this->Clock(node)).count()) / node.clock_rate;
  const TrueTime due = this->now + std::max(TrueTime(static_cast<TrueTime::rep>(wait)), TrueTime(1000));
  this->Schedule(due, [this, vm = node.vm, incarnation = node.incarnation, generation] {
    Node& woken = this->Find(vm);
    if (woken.up && woken.incarnation == incarnation && woken.wake_generation == generation) {
      this->Tick(woken);
    }
  });
}

void Fleet::Execute(Node& node, const Action& action) {
  if (const auto* grant_request = std::get_if<SendGrantRequest>(&action)) {
    this->TransmitGrantRequest(node, *grant_request);
  } else if (const auto* close_request = std::get_if<SendCloseRequest>(&action)) {
    this->TransmitCloseRequest(node, *close_request);
  } else if (const auto* update = std::get_if<UpdateRecord>(&action)) {
    this->Update(node, *update);
  } else if (const auto* read = std::get_if<ReadRecord>(&action)) {
    this->Read(node, *read);
  } else if (const auto* grant_reply = std::get_if<SendGrantReply>(&action)) {
    this->replies.at(grant_reply->reply_id)(GrantReplyReceived{TimePoint(), grant_reply->reply});
  } else if (const auto* close_reply = std::get_if<SendCloseReply>(&action)) {
    this->replies.at(close_reply->reply_id)(CloseReplyReceived{TimePoint(), close_reply->reply});
  }
}

void Fleet::TransmitGrantRequest(Node& node, const SendGrantRequest& action) {
  const TimePoint sent_at = this->Clock(node);
  this->Transmit(node.vm, action.witness, [this, action, sent_at, from = node.vm, incarnation = node.incarnation] {
    const std::uint64_t id = this->next_reply_id++;
    this->replies[id] = [this, action, sent_at, from, incarnation](const Event& event) {
      const GrantReply reply = std::get<GrantReplyReceived>(event).reply;
      this->Transmit(action.witness, from, [this, from, incarnation, sent_at, reply] {
        this->Deliver(from, incarnation, GrantReplyReceived{sent_at, reply});
      });
    };
    this->Deliver(action.witness, this->Find(action.witness).incarnation, GrantRequestReceived{id, action.request});
  });
}

void Fleet::TransmitCloseRequest(Node& node, const SendCloseRequest& action) {
  const TimePoint sent_at = this->Clock(node);
  this->Transmit(node.vm, action.witness, [this, action, sent_at, from = node.vm, incarnation = node.incarnation] {
    const std::uint64_t id = this->next_reply_id++;
    this->replies[id] = [this, action, sent_at, from, incarnation](const Event& event) {
      const CloseReply reply = std::get<CloseReplyReceived>(event).reply;
      this->Transmit(action.witness, from, [this, from, incarnation, sent_at, reply] {
        this->Deliver(from, incarnation, CloseReplyReceived{sent_at, reply});
      });
    };
    this->Deliver(action.witness, this->Find(action.witness).incarnation, CloseRequestReceived{id, action.request});
  });
}

void Fleet::Update(Node& node, const UpdateRecord& action) {
  const bool lost = this->RandomBool(this->conditions.platform_reply_loss);
  this->Schedule(this->now + this->RandomDelay(), [this, action, lost, vm = node.vm, incarnation = node.incarnation] {
    UpdateCompleted reply{.group = action.group,
                          .update_id = action.record.update_id,
                          .result = UpdateResult::kUnknown,
                          .version = 0,
                          .current = std::nullopt};
    if (!this->conditions.platform_outage) {
      PlatformObject& object = this->platform[action.group];
      const bool applied = object.version == action.expected_version;
      if (applied) {
        object = {++this->platform_version, action.record};
        ++this->platform_writes;
        this->Publish(action.group);
      }
      if (!lost) {
        reply.result = applied ? UpdateResult::kApplied : UpdateResult::kConflict;
        reply.version = object.version;
        reply.current = object.record;
      }
    }
    this->Schedule(this->now + this->RandomDelay(),
                   [this, vm, incarnation, reply] { this->Deliver(vm, incarnation, reply); });
  });
}

void Fleet::Read(Node& node, const ReadRecord& action) {
  this->Schedule(this->now + this->RandomDelay(), [this, action, vm = node.vm, incarnation = node.incarnation] {
    Event event = ReadFailed{action.group};
    if (!this->conditions.platform_outage) {
      const PlatformObject& object = this->platform[action.group];
      event = RecordSeen{.group = action.group, .version = object.version, .record = object.record};
    }
    this->Schedule(this->now + this->RandomDelay(),
                   [this, vm, incarnation, event] { this->Deliver(vm, incarnation, event); });
  });
}

// Notifies the watch of each process of a change, except for those whose message is lost.
void Fleet::Publish(const GroupName& group) {
  const PlatformObject object = this->platform[group];
  for (const Node& node : this->nodes) {
    if (!this->RandomBool(this->conditions.loss)) {
      const RecordSeen event{.group = group, .version = object.version, .record = object.record};
      this->Schedule(this->now + this->RandomDelay(), [this, vm = node.vm, incarnation = node.incarnation, event] {
        this->Deliver(vm, incarnation, event);
      });
    }
  }
}

// Exchanges heartbeats between VMs, each with the record of one group for anti-entropy.
void Fleet::ExchangeHeartbeats() {
  for (Node& from : this->nodes) {
    const bool sending = from.up && this->now >= from.paused_until;
    for (Node& to : this->nodes) {
      if (!sending || !this->Connected(from, to)) {
        continue;
      }
      to.last_heard[from.vm] = this->now;
      const GroupName& group = this->groups[this->random() % this->groups.size()];
      const LeadershipRecord* record = from.system->Record(group);
      const PlatformObject& object = this->platform[group];
      // The leadership system doesn't expose the record's version, so a peer passes on only the platform's current
      // record, with the version from there.
      if (record != nullptr && object.record && record->update_id == object.record->update_id) {
        to.inbox.emplace_back(RecordSeen{group, object.version, *record, RecordSource::kPeer});
      }
    }
  }
  for (Node& node : this->nodes) {
    if (!node.up) {
      continue;
    }
    std::vector<VmView> view;
    VmsChanged changed;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      const Node& other = this->nodes[index];
      const auto heard = node.last_heard.find(other.vm);
      const bool live =
          other.vm == node.vm || (heard != node.last_heard.end() && this->now - heard->second < kLivenessTimeout);
      changed.vms.push_back(
          {other.vm, other.incarnation, kDataCentres[index % kDataCentres.size()], "eu-west-dub", live, other.leaving});
    }
    this->Deliver(node.vm, node.incarnation, std::move(changed));
  }
  this->Schedule(this->now + kHeartbeatInterval, [this] { this->ExchangeHeartbeats(); });
}

void Fleet::CheckSafety() {
  for (const GroupName& group : this->groups) {
    const std::vector<std::size_t> valid = this->ValidLeaders(group);
    if (!valid.empty()) {
      this->last_led[group] = this->now;
    }
    if (valid.size() > 1 && !this->violation) {
      this->violation = group + ": " + this->nodes[valid[0]].vm + " and " + this->nodes[valid[1]].vm + " at " +
                        std::to_string(this->now.count()) + " ns";
    }
  }
}

Node& Fleet::Find(const VmName& vm) {
  return *std::find_if(this->nodes.begin(), this->nodes.end(), [&vm](const Node& node) { return node.vm == vm; });
}

}  // namespace amaranthlane::leadership
