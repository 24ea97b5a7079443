#include "core/promotion/group_model.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace amaranthlane::promotion {
namespace {

using std::chrono::milliseconds;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kProbeInterval = milliseconds(50);
constexpr Duration kProgressTimeout = milliseconds(200);
constexpr Duration kAcknowledgementTimeout = milliseconds(1000);

}  // namespace

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  const auto after = std::chrono::duration_cast<milliseconds>(fault.after).count();
  return out << "{kind " << int{static_cast<std::uint8_t>(fault.kind)} << " target " << fault.target << " after "
             << after << " ms}";
}

LogPosition ModelInstance::LastPosition() const {
  return this->log.empty() ? LogPosition{} : LogPosition{this->log.back().term, this->log.size()};
}

replicas::PositionReply ModelInstance::MakePositionReply() const {
  const bool primary = this->primary == this->name;
  const replicas::Role role = this->term == 0 ? replicas::Role::kUnconfigured
                              : primary       ? replicas::Role::kPrimary
                                              : replicas::Role::kReplica;
  return {this->name, role, this->term, this->LastPosition(), this->synced_term};
}

GroupModel::GroupModel(std::uint32_t seed) : random(seed) {
  this->object.group = "orders";
  this->object.term = 1;
  this->object.primary = "a";
  for (const char* name : {"a", "b", "c"}) {
    this->object.instances.push_back({name, std::string("127.0.0.1:") + name, "dc", false});
    this->instances.push_back(ModelInstance{.name = name, .primary = {}, .log = {}});
  }
  this->StartLeader();
}

void GroupModel::Run(Duration duration) {
  const TimePoint end = this->now + duration;
  while (this->now < end) this->Step();
}

void GroupModel::Heal() {
  this->platform_up = true;
  this->lose_reply = false;
  for (ModelInstance& instance : this->instances) {
    instance.up = instance.reaches_leader = instance.reaches_replicas = true;
  }
  for (auto& instance : this->object.instances) instance.leaving = false;
  ++this->version;
  this->events.emplace_back(GroupObjectRead{0, this->version, this->object});
}

ModelInstance& GroupModel::Primary() { return this->Find(this->object.primary); }

void GroupModel::Apply(const Fault& fault) {
  const std::size_t first = &this->Primary() - this->instances.data();
  ModelInstance& target = this->instances[(first + fault.target) % this->instances.size()];
  switch (fault.kind) {
    case FaultKind::kKill:
      target.up = false;
      break;
    case FaultKind::kRestart:
      target.up = true;
      break;
    case FaultKind::kCutFromLeader:
      target.reaches_leader = false;
      break;
    case FaultKind::kReconnectLeader:
      target.reaches_leader = true;
      break;
    case FaultKind::kCutFromReplicas:
      target.reaches_replicas = false;
      break;
    case FaultKind::kReconnectReplicas:
      target.reaches_replicas = true;
      break;
    case FaultKind::kStallOpenConnections:
      target.open_connections_unresponsive = true;
      break;
    case FaultKind::kPlatformDown:
      this->platform_up = false;
      break;
    case FaultKind::kPlatformUp:
      this->platform_up = true;
      break;
    case FaultKind::kLosePlatformReply:
      this->lose_reply = true;
      break;
    case FaultKind::kReplaceLeader:
      this->StartLeader();
      break;
    case FaultKind::kPromote:
      this->events.emplace_back(PromoteRequested{});
      break;
    case FaultKind::kToggleLeaving:
      this->object.instances[&target - this->instances.data()].leaving ^= true;
      ++this->version;
      if (this->platform_up) this->events.emplace_back(GroupObjectRead{0, this->version, this->object});
      break;
  }
}

std::string GroupModel::Describe() const {
  std::ostringstream out;
  out << "phase " << static_cast<int>(this->system->CurrentPhase()) << " reason "
      << static_cast<int>(this->system->CurrentReason()) << " leader's term " << this->system->CurrentTerm()
      << " object's term " << this->object.term << " primary " << this->object.primary;
  for (const ModelInstance& instance : this->instances) {
    out << " | " << instance.name << " term " << instance.term << " of " << instance.primary << " synced "
        << instance.synced_term << " end " << instance.LastPosition().term << "/" << instance.LastPosition().offset;
  }
  return out.str();
}

void GroupModel::StartLeader() {
  ++this->leaders;
  this->system = std::make_unique<PromotionSystem>(PromotionSettings{}, "orders", std::to_string(this->leaders));
  this->table = std::make_unique<replicas::ReplicaTable>(replicas::ReplicaSettings{});
  this->events.clear();
  this->open_probes.clear();
  this->running_writes = 0;
  this->draining = false;
  for (ModelInstance& instance : this->instances) instance.open_connections_unresponsive = false;
}

void GroupModel::Step() {
  this->now += kStep;
  while (!this->queue.empty() && this->queue.begin()->first <= this->now) {
    const Effect effect = std::move(this->queue.begin()->second);
    this->queue.erase(this->queue.begin());
    effect();
  }
  this->Replicate();
  this->SendProbes();
  if (this->system->MaySend()) this->SendWrite();
  this->ProcessResults(this->table->Tick(this->now));
  this->TickLeader();
  this->CheckAges();
  if (this->last_acknowledged_at) {
    this->max_gap = std::max(this->max_gap, this->now - *this->last_acknowledged_at);
  }
}

void GroupModel::Replicate() {
  for (ModelInstance& replica : this->instances) {
    if (replica.term > 0 && replica.primary != replica.name && this->random() % 3 == 0) this->Follow(replica);
  }
}

void GroupModel::Follow(ModelInstance& replica) {
  const ModelInstance& primary = this->Find(replica.primary);
  const bool linked = replica.up && primary.up && replica.reaches_replicas && primary.reaches_replicas;
  if (!linked || primary.term != replica.term || primary.primary != primary.name) return;
  const auto same = [](const Entry& left, const Entry& right) { return left.id == right.id; };
  const auto [mine, theirs] = std::ranges::mismatch(replica.log, primary.log, same);
  replica.log.erase(mine, replica.log.end());
  replica.synced_term = replica.term;
  const std::size_t room = primary.log.end() - theirs;
  const std::size_t count = std::min<std::size_t>(room, this->random() % 40);
  replica.log.insert(replica.log.end(), theirs, theirs + static_cast<std::ptrdiff_t>(count));
}

void GroupModel::SendProbes() {
  for (const auto& [name, sent_at] : std::map(this->open_probes)) {
    if (this->now - sent_at < kProgressTimeout) continue;
    this->open_probes.erase(name);
    this->table->ProbeFailed(name, sent_at);
    this->events.emplace_back(ConnectionUnresponsive{name});
  }
  if (this->now < this->next_probes) return;
  this->next_probes = this->now + kProbeInterval;
  for (const ModelInstance& instance : this->instances) {
    const EndpointName name = instance.name;
    if (!this->open_probes.emplace(name, this->now).second) continue;
    this->table->ProbeSent(name, this->now);
    const auto reply = std::make_shared<replicas::PositionReply>();
    const auto answered = [this, name, reply, sent_at = this->now] {
      this->open_probes.erase(name);
      this->events.emplace_back(PositionReceived{0, sent_at, *reply});
      this->ProcessResults(this->table->ProbeAnswered(this->now, sent_at, *reply));
    };
    const auto refused = [this, name] {
      this->open_probes.erase(name);
      this->events.emplace_back(ConnectionUnresponsive{name});
    };
    this->Call(
        name, true, [this, name, reply] { *reply = this->Find(name).MakePositionReply(); }, answered, refused);
  }
}

void GroupModel::SendWrite() {
  const Term term = this->system->CurrentTerm();
  const EndpointName name = this->system->Primary();
  const auto position = std::make_shared<std::optional<LogPosition>>();
  const std::uint64_t id = ++this->last_id;
  const auto run = [this, name, term, id, position] {
    ModelInstance& instance = this->Find(name);
    if (instance.term != term || instance.primary != name) return;
    instance.log.push_back(Entry{term, id, this->now});
    *position = instance.LastPosition();
  };
  const auto answered = [this, term, id, position] {
    --this->running_writes;
    if (!*position) return;
    const auto result = this->table->AwaitReplicated(id, term, **position, this->now + kAcknowledgementTimeout);
    if (result) this->ProcessResults({*result});
  };
  ++this->running_writes;
  this->Call(name, true, run, answered, [this] { --this->running_writes; });
}

void GroupModel::TickLeader() {
  if (this->draining) this->events.emplace_back(PrimaryIdle{this->system->CurrentTerm()});
  const auto stalled = this->table->StalledSince();
  if (stalled && this->now - *stalled >= PromotionSettings{}.replication_stall_timeout) {
    this->events.emplace_back(ReplicationStalled{this->table->CurrentTerm()});
  }
  const std::vector<Event> batch = std::exchange(this->events, {});
  for (const Action& action : this->system->Tick(this->now, batch)) {
    std::visit([this](const auto& typed) { this->Execute(typed); }, action);
  }
}

void GroupModel::Execute(const SuspendPrimary& action) { this->draining = action.planned; }

void GroupModel::Execute(const ReplaceConnections& action) {
  this->Find(action.endpoint).open_connections_unresponsive = false;
  this->open_probes.erase(action.endpoint);
}

void GroupModel::Execute(const ProbeInstance& action) {
  const auto reply = std::make_shared<replicas::PositionReply>();
  const auto answered = [this, action, reply, sent_at = this->now] {
    this->events.emplace_back(PositionReceived{action.request, sent_at, *reply});
  };
  const auto refused = [this, action] { this->events.emplace_back(ProbeFailed{action.request}); };
  const auto run = [this, action, reply] { *reply = this->Find(action.endpoint).MakePositionReply(); };
  this->Call(action.endpoint, false, run, answered, refused);
}

void GroupModel::Execute(const ReadGroupObject& action) {
  this->Schedule(this->RandomDelay(), [this, action] {
    if (this->platform_up) {
      this->events.emplace_back(GroupObjectRead{action.request, this->version, this->object});
    } else {
      this->events.emplace_back(GroupObjectReadFailed{action.request});
    }
  });
}

void GroupModel::Execute(const UpdateGroupObject& action) {
  ++this->updates_sent;
  // The request of a leader that was replaced meanwhile may still arrive.
  this->Schedule(this->RandomDelay(), [this, action, leader = this->leaders] {
    const std::string& id = action.record.update_id;
    const bool applies = this->platform_up && this->version == action.expected_version;
    if (applies) this->object = action.record;
    if (applies) ++this->version;
    if (leader != this->leaders) return;
    if (!this->platform_up || std::exchange(this->lose_reply, false)) {
      this->events.emplace_back(UpdateOutcomeUnknown{id});
    } else if (applies) {
      this->events.emplace_back(UpdateApplied{id, this->version});
    } else {
      this->events.emplace_back(UpdateConflicted{id, this->version, this->object});
    }
  });
}

void GroupModel::Execute(const ConfigureInstance& action) {
  const auto refused_for = std::make_shared<Term>(0);
  const auto run = [this, action, refused_for] {
    ModelInstance& instance = this->Find(action.endpoint);
    if (instance.term > action.record.term) {
      *refused_for = instance.term;
      return;
    }
    instance.term = action.record.term;
    instance.primary = action.record.primary;
  };
  const auto answered = [this, action, refused_for] {
    if (*refused_for > 0) {
      this->events.emplace_back(ConfigureRefused{action.request, *refused_for});
    } else {
      this->events.emplace_back(ConfigureAccepted{action.request});
    }
  };
  const auto refused = [this, action] { this->events.emplace_back(ConfigureFailed{action.request}); };
  this->Call(action.endpoint, false, run, answered, refused);
}

void GroupModel::Execute(const RecordAdopted& action) { this->ProcessResults(this->table->ApplyRecord(action.record)); }

void GroupModel::Execute(const PrimaryChanged& action) {
  this->draining = false;
  this->highest_active_term = std::max(this->highest_active_term, action.term);
  for (ModelInstance& instance : this->instances) instance.open_connections_unresponsive = false;
  if (action.base) this->table->SetTermBase(*action.base);
  this->ProcessResults(this->table->UnfreezeAcknowledgements());
  for (const auto& [id, term] : this->acknowledged) {
    if (this->HasEntry(this->Find(action.primary), id)) continue;
    this->violations.push_back("write " + std::to_string(id) + " of term " + std::to_string(term) + " lost in term " +
                               std::to_string(action.term));
  }
}

void GroupModel::Execute(const PlannedChangeEnded& action) { this->planned_outcomes.push_back(action.outcome); }

void GroupModel::ProcessResults(const std::vector<replicas::AcknowledgementResult>& results) {
  for (const auto& result : results) {
    const Term term = result.position.term;
    if (result.replication != replicas::Replication::kReplicated) continue;
    if (!this->system->MayAcknowledge(term, result.position)) continue;
    this->acknowledged.emplace(result.statement, term);
    ++this->acknowledged_count;
    this->last_acknowledged_at = this->now;
    if (term < this->highest_active_term) this->violations.emplace_back("acknowledged under a replaced term");
  }
}

void GroupModel::CheckAges() {
  const ModelInstance* primary = nullptr;
  for (const ModelInstance& instance : this->instances) {
    if (instance.name == this->table->Primary() && instance.term == this->table->CurrentTerm()) primary = &instance;
  }
  if (primary == nullptr) return;
  for (const ModelInstance& replica : this->instances) {
    const auto bound = this->table->AgeBound(this->now, replica.name);
    const std::uint64_t held = this->table->Find(replica.name)->position.offset;
    if (!bound || replica.name == primary->name || held >= primary->log.size()) continue;
    const Duration age = this->now - primary->log[held].committed_at;
    if (*bound < age) this->violations.emplace_back("age bound of " + replica.name + " is too low");
  }
}

bool GroupModel::HasEntry(const ModelInstance& instance, std::uint64_t id) const {
  return std::ranges::find(instance.log, id, &Entry::id) != instance.log.end();
}

ModelInstance& GroupModel::Find(const EndpointName& name) {
  return *std::ranges::find(this->instances, name, &ModelInstance::name);
}

Duration GroupModel::RandomDelay() {
  // A few messages are delayed for much longer.
  return this->random() % 50 == 0 ? milliseconds(100 + this->random() % 400) : milliseconds(1 + this->random() % 40);
}

void GroupModel::Schedule(Duration delay, Effect effect) { this->queue.emplace(this->now + delay, std::move(effect)); }

void GroupModel::Call(const EndpointName& name, bool open, Effect effect, Effect answered, Effect refused) {
  const auto lost = [this, name, open] {
    const ModelInstance& instance = this->Find(name);
    return !instance.reaches_leader || (open && instance.open_connections_unresponsive);
  };
  const auto to_leader = [this, leader = this->leaders, lost](const Effect& last) {
    if (leader == this->leaders && !lost()) last();
  };
  this->Schedule(this->RandomDelay(), [=, this] {
    if (lost()) return;
    const bool up = this->Find(name).up;
    if (up) effect();
    this->Schedule(this->RandomDelay(), [=] { to_leader(up ? answered : refused); });
  });
}

}  // namespace amaranthlane::promotion
