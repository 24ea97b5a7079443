// The steps of the promotion system's phases, and the transitions between them.
#include <algorithm>

#include "core/promotion/candidate_choice.h"
#include "core/promotion/promotion_system.h"

namespace amaranthlane::promotion {

using replicas::Instance;
using replicas::PositionReply;
using replicas::Role;

void PromotionSystem::Collect(TimePoint now) {
  if (!this->record) {
    this->reason = WaitReason::kGroupObjectNotRead;
    return;
  }
  const bool stalled = this->stall_deadline && now < *this->stall_deadline;
  const PositionReply* activating = this->ActivatingReply();
  if (activating != nullptr && !stalled) {
    this->ActivateTerm(*activating, now);
    return;
  }
  if (!this->record_confirmed) {
    this->reason = WaitReason::kGroupObjectNotRead;
    return;
  }
  if (!this->primary_failed && this->FreshReply(this->Primary()) == nullptr) {
    this->reason = WaitReason::kPrimaryUnreachable;
    return;
  }
  const bool exclude_primary = stalled || (this->primary_failed && this->FreshReply(this->Primary()) == nullptr);
  const std::optional<EndpointName> excluded =
      exclude_primary ? std::optional<EndpointName>(this->Primary()) : std::nullopt;
  const CandidateChoice choice = ChooseCandidate(*this->record, this->FreshReplies(), this->guard.Bounds(), excluded);
  this->reason = choice.reason;
  if (!choice.chosen) {
    // Positions may still advance, by replication from a primary that only this leader can't reach.
    for (const Instance& instance : this->record->instances) {
      this->probes.Schedule(instance.endpoint, now + this->settings.first_retry_delay);
    }
    return;
  }
  if (this->choice_due_at == kNever) this->choice_due_at = now + this->settings.collect_window;
  if (stalled && !choice.all_answered) return;
  if (!choice.all_answered && now < this->choice_due_at) return;
  const bool agreed = this->CurrentTerm() > 0 && this->highest_term <= this->CurrentTerm();
  if (agreed && choice.chosen->endpoint == this->Primary()) {
    this->StartConfiguring(now);
  } else if (this->object.IsReadComplete()) {
    this->StartUpdate(*choice.chosen, now);
  } else if (this->object.PlatformUnavailable()) {
    this->reason = WaitReason::kPlatformUnavailable;
  }
}

void PromotionSystem::Serve(TimePoint now) {
  this->reason = WaitReason::kNone;
  const Instance* primary = this->record->Find(this->Primary());
  if (primary != nullptr && !primary->leaving) return;
  if (now < this->earliest_planned_change) return;
  const std::optional<EndpointName> target = this->ChoosePlannedTarget(std::nullopt);
  if (target) this->StartPlannedChange(PlannedChange{.target = *target}, now);
}

void PromotionSystem::Drain(TimePoint now) {
  if (now >= this->planned->deadline) {
    this->CancelPlannedChange(PlannedOutcome::kTimedOut, now);
  } else if (this->planned->stage == PlannedStage::kReading) {
    this->DrainAfterRead(now);
  } else if (this->planned->stage == PlannedStage::kCatchingUp) {
    this->CatchUp(now);
  }
}

void PromotionSystem::AwaitUpdate(TimePoint now) {
  this->reason = this->object.PlatformUnavailable() ? WaitReason::kPlatformUnavailable : WaitReason::kNone;
  const std::optional<UpdateResult> result = this->object.TakeResult();
  if (!result) return;
  if (result->applied) {
    const bool newest = result->record.term >= this->highest_term;
    this->AdoptTerm(result->version, result->record);
    if (newest) {
      this->StartConfiguring(now);
    } else {
      this->EnterCollecting(now, false);
    }
    return;
  }
  // The version has moved on, so the update can no longer take effect.
  const bool primary_failed = this->primary_failed && !this->planned;
  const bool replaced = result->record.term > this->CurrentTerm();
  this->Adopt(result->version, result->record, now);
  if (!replaced) this->EnterCollecting(now, primary_failed);
}

void PromotionSystem::AwaitConfiguration(TimePoint now) {
  this->reason = this->suspicion.Active() ? WaitReason::kPrimaryUnreachable : WaitReason::kNone;
  if (!this->primary_accepted && now >= this->configure_deadline) {
    this->configure_deadline = now + this->settings.configure_timeout;
    this->suspicion.Begin(now);
  }
  if (!this->primary_accepted) return;
  const PositionReply* activating = this->ActivatingReply();
  if (activating != nullptr) this->ActivateTerm(*activating, now);
}

const PositionReply* PromotionSystem::ActivatingReply() const {
  const PositionReply* reply = this->FreshReply(this->Primary());
  if (reply == nullptr || reply->role != Role::kPrimary || reply->term != this->CurrentTerm()) return nullptr;
  const std::optional<LogPosition>& acknowledged = this->guard.Bounds().own;
  if (acknowledged && reply->position < *acknowledged) return nullptr;
  return this->KnowsNewestTerm() ? reply : nullptr;
}

bool PromotionSystem::KnowsNewestTerm() const {
  if (this->highest_term > this->CurrentTerm()) return false;
  if (this->record_confirmed) return true;
  // The platform is down. A newer term is always configured at its primary first, so at least one of the instances
  // would know of it: replies from all of them rule it out.
  return this->FreshReplies().size() == this->record->instances.size();
}

void PromotionSystem::ActivateTerm(const PositionReply& reply, TimePoint now) {
  if (this->activated) {
    // The replicas of a primary with stalled replication didn't answer; the change may be tried again soon.
    if (this->stall_deadline) this->earliest_stall_change = now + this->settings.replication_stall_timeout;
    this->Resume();
    return;
  }
  this->activated = true;
  this->activated_at = now;
  this->guard.SetInheritedBound(reply.position);
  this->guard.Unfreeze(this->CurrentTerm());
  PrimaryChanged change{.term = this->CurrentTerm(), .primary = this->Primary(), .base = std::nullopt};
  if (reply.position.term < this->CurrentTerm()) {
    change.base = replicas::TermBase{this->CurrentTerm(), reply.position};
  }
  this->actions.emplace_back(change);
  this->EndPlannedChange(PlannedOutcome::kDone);
  this->primary_failed = false;
  this->phase = Phase::kServing;
  this->probes.Clear();
  this->ConfigureReplicas(now);
}

void PromotionSystem::Resume() {
  if (this->guard.IsFrozen()) this->actions.emplace_back(UnfreezeAcknowledgements{this->CurrentTerm()});
  this->guard.Unfreeze(this->CurrentTerm());
  if (this->suspended) this->actions.emplace_back(ResumePrimary{this->CurrentTerm()});
  this->suspended = false;
  this->stall_deadline.reset();
  this->phase = Phase::kServing;
  this->probes.Clear();
  this->suspicion.Clear();
}

void PromotionSystem::StartPlannedChange(PlannedChange change, TimePoint now) {
  change.stage = PlannedStage::kReading;
  change.deadline = now + this->settings.platform_timeout;
  this->planned = change;
  this->phase = Phase::kDraining;
  this->object.Read(now);
}

std::optional<EndpointName> PromotionSystem::ChoosePlannedTarget(const std::optional<EndpointName>& wanted) const {
  std::optional<PositionReply> best;
  for (const Instance& instance : this->record->instances) {
    const auto found = this->latest_replies.find(instance.endpoint);
    if (instance.leaving || instance.endpoint == this->Primary() || found == this->latest_replies.end()) continue;
    const PositionReply& reply = found->second.reply;
    if (reply.synced_term != this->CurrentTerm() || (wanted && instance.endpoint != *wanted)) continue;
    if (!best || best->position < reply.position) best = reply;
  }
  return best ? std::optional<EndpointName>(best->endpoint) : std::nullopt;
}

void PromotionSystem::DrainAfterRead(TimePoint now) {
  if (!this->object.IsReadComplete()) return;
  if (!this->ChoosePlannedTarget(this->planned->target)) {
    this->CancelPlannedChange(PlannedOutcome::kTargetUnsuitable, now);
    return;
  }
  const TimePoint drain_deadline = now + this->settings.drain_timeout;
  this->Suspend(true, drain_deadline);
  this->planned->stage = PlannedStage::kDraining;
  this->planned->deadline = drain_deadline + this->settings.progress_timeout;
}

void PromotionSystem::CatchUp(TimePoint now) {
  const PositionReply* primary = this->FreshReply(this->Primary());
  if (primary != nullptr) this->planned->final_position = primary->position;
  const PositionReply* target = this->FreshReply(this->planned->target);
  const bool synced = target != nullptr && target->synced_term == this->CurrentTerm();
  if (synced && this->planned->final_position && target->position >= *this->planned->final_position) {
    this->reason = WaitReason::kNone;
    this->StartUpdate(*target, now);
    return;
  }
  this->reason = WaitReason::kTargetBehind;
  this->probes.Schedule(this->planned->target, now + this->settings.catch_up_interval);
}

void PromotionSystem::CancelPlannedChange(PlannedOutcome outcome, TimePoint now) {
  this->EndPlannedChange(outcome);
  this->earliest_planned_change = now + this->settings.planned_retry_delay;
  this->Resume();
}

void PromotionSystem::EndPlannedChange(PlannedOutcome outcome) {
  if (this->planned && this->planned->requested_by_operator) this->actions.emplace_back(PlannedChangeEnded{outcome});
  this->planned.reset();
}

}  // namespace amaranthlane::promotion
