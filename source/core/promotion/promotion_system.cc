#include "core/promotion/promotion_system.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::promotion {

using replicas::GroupRecord;
using replicas::Instance;
using replicas::PositionReply;
using replicas::Role;

namespace {

// The maximum number of phase steps in one tick; more would mean an endless loop.
constexpr int kMaxPhaseStepsPerTick = 8;

RetrySettings MakeRetrySettings(const PromotionSettings& settings, Duration reply_timeout) {
  return RetrySettings{reply_timeout, settings.first_retry_delay, settings.max_retry_delay};
}

}  // namespace

const std::array<PromotionSystem::PhaseStep, 6> PromotionSystem::kPhaseSteps = {{
    {Phase::kStarting, &PromotionSystem::Collect},
    {Phase::kServing, &PromotionSystem::Serve},
    {Phase::kDraining, &PromotionSystem::Drain},
    {Phase::kCollecting, &PromotionSystem::Collect},
    {Phase::kUpdating, &PromotionSystem::AwaitUpdate},
    {Phase::kConfiguring, &PromotionSystem::AwaitConfiguration},
}};

PromotionSystem::PromotionSystem(PromotionSettings settings, GroupName group, std::string update_id_prefix)
    : settings(settings),
      group(std::move(group)),
      update_id_prefix(std::move(update_id_prefix)),
      object(MakeRetrySettings(settings, settings.platform_timeout)),
      probes(MakeRetrySettings(settings, settings.position_probe_timeout)),
      configurations(MakeRetrySettings(settings, settings.configure_timeout)),
      suspicion({settings.new_connection_timeout, settings.required_failed_connections, settings.reconnect_delay}) {}

std::vector<Action> PromotionSystem::Tick(TimePoint now, std::span<const Event> events) {
  this->actions.clear();
  this->ticked_at = now;
  if (!this->started) {
    this->started = true;
    this->object.Read(now);
  }
  for (const Event& event : events) {
    std::visit([this, now](const auto& typed) { this->On(typed, now); }, event);
  }
  this->HandleVerdict(this->suspicion.OnTimeout(now), now);
  for (int step = 0; step < kMaxPhaseStepsPerTick; ++step) {
    const Phase before = this->phase;
    const auto phase_step = std::ranges::find(kPhaseSteps, this->phase, &PhaseStep::phase);
    (this->*phase_step->step)(now);
    if (this->phase == before) break;
  }
  this->AddDueRequests(now);
  this->ReportStatus();
  return std::exchange(this->actions, {});
}

TimePoint PromotionSystem::NextDeadline() const {
  if (!this->started) return TimePoint::min();
  TimePoint next = std::min({this->object.NextDeadline(), this->probes.NextDeadline(),
                             this->configurations.NextDeadline(), this->suspicion.NextDeadline()});
  const auto consider = [this, &next](TimePoint due) {
    // What was due at the last tick has been handled.
    if (due > this->ticked_at) next = std::min(next, due);
  };
  const bool collecting = this->phase == Phase::kCollecting || this->phase == Phase::kStarting;
  if (collecting) consider(this->choice_due_at);
  if (collecting && this->stall_deadline) consider(*this->stall_deadline);
  if (this->phase == Phase::kConfiguring) consider(this->configure_deadline);
  if (this->planned) consider(this->planned->deadline);
  return next;
}

bool PromotionSystem::MayAcknowledge(Term term, const LogPosition& position) {
  return this->guard.MayAcknowledge(term, position);
}

bool PromotionSystem::MayReturnToCaller(Term term) const {
  return !this->guard.IsFrozen() && term == this->CurrentTerm();
}

bool PromotionSystem::MaySend() const { return this->activated && !this->suspended; }

Term PromotionSystem::CurrentTerm() const { return this->record ? this->record->term : 0; }

const EndpointName& PromotionSystem::Primary() const {
  static const EndpointName none;
  return this->record ? this->record->primary : none;
}

Phase PromotionSystem::CurrentPhase() const {
  return this->phase == Phase::kServing && this->suspicion.Active() ? Phase::kSuspecting : this->phase;
}

WaitReason PromotionSystem::CurrentReason() const { return this->reason; }

void PromotionSystem::On(const ConnectionUnresponsive& event, TimePoint now) {
  if (event.endpoint != this->Primary()) {
    // No promotion depends on a replica's connections, so they are replaced without further evidence.
    this->actions.emplace_back(ReplaceConnections{event.endpoint});
    return;
  }
  const bool primary_in_use = this->phase == Phase::kServing || this->phase == Phase::kDraining;
  if (primary_in_use) this->suspicion.Begin(now);
}

void PromotionSystem::On(const PositionReceived& event, TimePoint now) {
  const PositionReply& reply = event.reply;
  this->probes.Answered(event.request);
  LatestReply& latest = this->latest_replies[reply.endpoint];
  if (event.sent_at >= latest.sent_at) latest = LatestReply{event.sent_at, reply};
  if (!this->record || this->record->Find(reply.endpoint) == nullptr) return;
  if (reply.term > this->CurrentTerm()) {
    this->ObserveTerm(reply.term, now);
    return;
  }
  if (reply.endpoint == this->Primary()) {
    this->HandleVerdict(this->suspicion.OnReply(event.request, event.sent_at), now);
    // A primary that was configured in this term and no longer knows it has lost its data.
    const bool lost = this->activated && event.sent_at >= this->activated_at && reply.term < this->CurrentTerm();
    const bool primary_in_use = this->phase == Phase::kServing || this->phase == Phase::kDraining;
    if (lost && primary_in_use) this->EnterCollecting(now, false);
  } else if (this->activated && reply.term < this->CurrentTerm()) {
    this->configurations.Schedule(reply.endpoint, now);
  }
}

void PromotionSystem::On(const ProbeFailed& event, TimePoint now) {
  this->probes.Failed(event.request, now);
  this->HandleVerdict(this->suspicion.OnFailure(event.request, now), now);
}

void PromotionSystem::On(const HigherTermSeen& event, TimePoint now) { this->ObserveTerm(event.term, now); }

void PromotionSystem::On(const GroupObjectRead& event, TimePoint now) {
  if (event.record.group != this->group) return;
  if (this->object.OnRead(event, now)) {
    this->record_confirmed = true;
  } else {
    this->object.OnObserved(event.version, event.record);
  }
  // The result of an update in flight is handled on its own.
  if (this->phase != Phase::kUpdating) this->Adopt(event.version, event.record, now);
}

void PromotionSystem::On(const GroupObjectReadFailed& event, TimePoint now) {
  this->object.OnReadFailed(event.request, now);
}

void PromotionSystem::On(const UpdateApplied& event, TimePoint /*now*/) { this->object.OnApplied(event); }

void PromotionSystem::On(const UpdateConflicted& event, TimePoint /*now*/) { this->object.OnConflict(event); }

void PromotionSystem::On(const UpdateOutcomeUnknown& event, TimePoint now) {
  this->object.OnOutcomeUnknown(event.update_id, now);
}

void PromotionSystem::On(const ConfigureAccepted& event, TimePoint now) {
  const std::optional<EndpointName> endpoint = this->configurations.Answered(event.request);
  if (this->phase != Phase::kConfiguring || endpoint != this->Primary()) return;
  this->primary_accepted = true;
  // The reply to a probe sent from now on shows the base of the term.
  this->fresh_since = now;
  this->latest_replies.erase(this->Primary());
  this->probes.Remove(this->Primary());
  this->probes.Schedule(this->Primary(), now);
}

void PromotionSystem::On(const ConfigureRefused& event, TimePoint now) {
  this->configurations.Failed(event.request, now);
  this->ObserveTerm(event.known_term, now);
}

void PromotionSystem::On(const ConfigureFailed& event, TimePoint now) {
  const std::optional<EndpointName> endpoint = this->configurations.Failed(event.request, now);
  if (this->phase == Phase::kConfiguring && endpoint == this->Primary()) this->suspicion.Begin(now);
}

void PromotionSystem::On(const PrimaryIdle& event, TimePoint now) {
  if (!this->planned || this->planned->stage != PlannedStage::kDraining || event.term != this->CurrentTerm()) return;
  this->Freeze(now);
  this->planned->stage = PlannedStage::kCatchingUp;
  this->planned->deadline = now + this->settings.drain_timeout;
  this->probes.Clear();
  this->probes.Schedule(this->Primary(), now);
  this->probes.Schedule(this->planned->target, now);
}

void PromotionSystem::On(const ReplicationStalled& event, TimePoint now) {
  if (this->phase != Phase::kServing || event.term != this->CurrentTerm() || now < this->earliest_stall_change) return;
  this->earliest_stall_change = now + this->settings.stall_change_interval;
  this->EnterCollecting(now, true);
  this->stall_deadline = now + this->settings.stall_collect_timeout;
}

void PromotionSystem::On(const PromoteRequested& event, TimePoint now) {
  if (this->phase != Phase::kServing) {
    this->actions.emplace_back(PlannedChangeEnded{PlannedOutcome::kBusy});
    return;
  }
  const std::optional<EndpointName> target = this->ChoosePlannedTarget(event.target);
  if (target) {
    this->StartPlannedChange(PlannedChange{.target = *target, .requested_by_operator = true}, now);
  } else {
    this->actions.emplace_back(PlannedChangeEnded{PlannedOutcome::kTargetUnsuitable});
  }
}

void PromotionSystem::Adopt(ObjectVersion version, const GroupRecord& newer, TimePoint now) {
  if (version <= this->version) return;
  if (!this->record || newer.term > this->CurrentTerm()) {
    // An earlier leader's change of primary was observed. That leader may not know what has been acknowledged since.
    this->AdoptTerm(version, newer);
    this->guard.ClearInheritedBound();
    this->EnterCollecting(now, false);
    return;
  }
  this->version = version;
  if (newer.term < this->CurrentTerm()) return;
  const GroupRecord older = *this->record;
  this->record = newer;
  // The primary of a term never changes.
  this->record->primary = older.primary;
  this->actions.emplace_back(RecordAdopted{version, *this->record});
  if (older.instances == newer.instances) return;
  this->ForgetRemovedInstances(older);
  if (this->activated) this->ConfigureReplicas(now);
}

void PromotionSystem::AdoptTerm(ObjectVersion version, const GroupRecord& newer) {
  this->guard.Freeze();
  this->version = version;
  this->record = newer;
  this->highest_term = std::max(this->highest_term, newer.term);
  this->activated = false;
  this->suspended = false;
  this->configurations.Clear();
  this->suspicion.Clear();
  this->actions.emplace_back(RecordAdopted{version, newer});
}

void PromotionSystem::EnterCollecting(TimePoint now, bool primary_failed) {
  this->EndPlannedChange(PlannedOutcome::kSuperseded);
  if (this->activated) this->Suspend(false, kNever);
  this->Freeze(now);
  this->primary_failed = primary_failed;
  this->stall_deadline.reset();
  this->choice_due_at = kNever;
  this->phase = primary_failed ? Phase::kCollecting : Phase::kStarting;
  this->object.Read(now);
  this->probes.Clear();
  this->suspicion.Clear();
  if (!primary_failed) this->suspicion.Begin(now);
  for (const Instance& instance : this->record->instances) {
    if (primary_failed || instance.endpoint != this->Primary()) this->probes.Schedule(instance.endpoint, now);
  }
}

void PromotionSystem::ObserveTerm(Term term, TimePoint now) {
  if (term <= this->highest_term) return;
  this->highest_term = term;
  // Only a read sent from now on is certain to show the record of that term.
  this->record_confirmed = false;
  // An update in flight is settled first; its result shows the newer record.
  if (this->phase == Phase::kUpdating) return;
  this->object.Read(now);
  if (this->record) this->EnterCollecting(now, false);
}

void PromotionSystem::HandleVerdict(Verdict verdict, TimePoint now) {
  if (verdict == Verdict::kAnswers && this->activated) this->actions.emplace_back(ReplaceConnections{this->Primary()});
  if (verdict != Verdict::kPrimaryFailed) return;
  if (this->phase == Phase::kStarting) {
    this->primary_failed = true;
    this->phase = Phase::kCollecting;
    this->probes.Schedule(this->Primary(), now + this->settings.first_retry_delay);
  } else {
    this->EnterCollecting(now, true);
  }
}

void PromotionSystem::StartUpdate(const PositionReply& chosen, TimePoint now) {
  GroupRecord next = *this->record;
  next.term = std::max(this->record->term, this->highest_term) + 1;
  next.primary = chosen.endpoint;
  next.update_id = this->update_id_prefix + "-" + std::to_string(++this->updates);
  // Only a log that matched the current primary's log is certain to keep its last entry.
  const bool keeps_entries = chosen.synced_term == this->record->term || chosen.role == Role::kPrimary;
  if (keeps_entries) next.history.push_back(replicas::TermBase{next.term, chosen.position});
  if (next.history.size() > replicas::kTermHistoryLimit) next.history.erase(next.history.begin());
  this->probes.Clear();
  this->suspicion.Clear();
  this->object.Update(now, this->version, next);
  this->phase = Phase::kUpdating;
}

void PromotionSystem::StartConfiguring(TimePoint now) {
  this->primary_accepted = false;
  this->configure_deadline = now + this->settings.configure_timeout;
  this->probes.Clear();
  this->suspicion.Clear();
  this->configurations.Clear();
  this->configurations.Schedule(this->Primary(), now);
  this->phase = Phase::kConfiguring;
}

void PromotionSystem::ConfigureReplicas(TimePoint now) {
  for (const Instance& instance : this->record->instances) {
    if (instance.endpoint != this->Primary()) this->configurations.Schedule(instance.endpoint, now);
  }
}

void PromotionSystem::ForgetRemovedInstances(const GroupRecord& older) {
  for (const Instance& instance : older.instances) {
    if (this->record->Find(instance.endpoint) != nullptr) continue;
    this->probes.Remove(instance.endpoint);
    this->configurations.Remove(instance.endpoint);
    this->latest_replies.erase(instance.endpoint);
  }
}

void PromotionSystem::Suspend(bool planned, TimePoint drain_deadline) {
  if (this->suspended && planned) return;
  this->suspended = true;
  this->actions.emplace_back(SuspendPrimary{this->CurrentTerm(), planned, drain_deadline});
}

void PromotionSystem::Freeze(TimePoint now) {
  if (!this->guard.IsFrozen()) this->actions.emplace_back(FreezeAcknowledgements{this->CurrentTerm()});
  this->guard.Freeze();
  this->fresh_since = now;
}

void PromotionSystem::AddDueRequests(TimePoint now) {
  for (Action& action : this->object.TakeDue(now, this->last_request)) this->actions.push_back(std::move(action));
  std::vector<DueRequest> due = this->probes.TakeDue(now, this->last_request);
  const std::optional<DueRequest> new_connection_probe =
      this->suspicion.TakeDue(now, this->Primary(), this->last_request);
  if (new_connection_probe) due.push_back(*new_connection_probe);
  for (const DueRequest& probe : due) {
    this->actions.emplace_back(
        ProbeInstance{probe.request, probe.endpoint, this->AddressOf(probe.endpoint), probe.deadline});
  }
  for (const DueRequest& request : this->configurations.TakeDue(now, this->last_request)) {
    this->actions.emplace_back(ConfigureInstance{request.request, request.endpoint, this->AddressOf(request.endpoint),
                                                 request.deadline, *this->record});
  }
}

void PromotionSystem::ReportStatus() {
  const StatusChanged current{this->CurrentPhase(), this->reason};
  if (current.phase == this->reported.phase && current.reason == this->reported.reason) return;
  this->reported = current;
  this->actions.emplace_back(current);
}

const PositionReply* PromotionSystem::FreshReply(const EndpointName& endpoint) const {
  const auto found = this->latest_replies.find(endpoint);
  if (found == this->latest_replies.end() || found->second.sent_at < this->fresh_since) return nullptr;
  return &found->second.reply;
}

std::vector<PositionReply> PromotionSystem::FreshReplies() const {
  std::vector<PositionReply> replies;
  for (const Instance& instance : this->record->instances) {
    const PositionReply* reply = this->FreshReply(instance.endpoint);
    if (reply != nullptr) replies.push_back(*reply);
  }
  return replies;
}

std::string PromotionSystem::AddressOf(const EndpointName& endpoint) const {
  const Instance* instance = this->record ? this->record->Find(endpoint) : nullptr;
  return instance == nullptr ? std::string() : instance->address;
}

}  // namespace amaranthlane::promotion
