// The phases of the promotion system: one step of each, and the changes between them.
#include <algorithm>

#include "core/promotion/candidate_choice.h"
#include "core/promotion/promotion_system.h"

namespace amaranthlane::promotion {

using replicas::Instance;
using replicas::PositionAnswer;
using replicas::Role;

void PromotionSystem::Collect(TimePoint now) {
  if (!this->record) {
    this->reason = WaitReason::kGroupObjectUnread;
    return;
  }
  const bool stalled = this->stall_deadline && now < *this->stall_deadline;
  const PositionAnswer* opening = this->OpeningAnswer();
  if (opening != nullptr && !stalled) {
    this->OpenTerm(*opening, now);
    return;
  }
  if (!this->record_confirmed) {
    this->reason = WaitReason::kGroupObjectUnread;
    return;
  }
  if (!this->primary_gone && this->FreshAnswer(this->Primary()) == nullptr) {
    this->reason = WaitReason::kPrimaryUnreachable;
    return;
  }
  const bool out = stalled || (this->primary_gone && this->FreshAnswer(this->Primary()) == nullptr);
  const std::optional<EndpointName> excluded = out ? std::optional<EndpointName>(this->Primary()) : std::nullopt;
  const CandidateChoice choice = ChooseCandidate(*this->record, this->FreshAnswers(), this->guard.Bounds(), excluded);
  this->reason = choice.reason;
  if (!choice.chosen) {
    // Positions may still grow, by replication from a primary that only this leader can't reach.
    for (const Instance& instance : this->record->instances) {
      this->probes.Schedule(instance.endpoint, now + this->settings.first_retry_delay);
    }
    return;
  }
  if (this->choose_at == kNever) this->choose_at = now + this->settings.collect_window;
  if (stalled && !choice.all_heard) return;
  if (!choice.all_heard && now < this->choose_at) return;
  const bool agreed = this->CurrentTerm() > 0 && this->highest_term <= this->CurrentTerm();
  if (agreed && choice.chosen->endpoint == this->Primary()) {
    this->StartConfiguring(now);
  } else if (this->object.IsRead()) {
    this->StartUpdate(*choice.chosen, now);
  } else if (this->object.Unavailable()) {
    this->reason = WaitReason::kPlatformUnavailable;
  }
}

void PromotionSystem::Serve(TimePoint now) {
  this->reason = WaitReason::kNone;
  const Instance* primary = this->record->Find(this->Primary());
  if (primary != nullptr && !primary->leaving) return;
  if (now < this->planned_allowed_at) return;
  const std::optional<EndpointName> target = this->PlannedTarget(std::nullopt);
  if (target) this->StartPlanned(PlannedChange{.target = *target}, now);
}

void PromotionSystem::Drain(TimePoint now) {
  if (now >= this->planned->deadline) {
    this->CancelPlanned(PlannedOutcome::kTimedOut, now);
  } else if (this->planned->stage == PlannedStage::kReading) {
    this->DrainAfterRead(now);
  } else if (this->planned->stage == PlannedStage::kCatchingUp) {
    this->CatchUp(now);
  }
}

void PromotionSystem::AwaitUpdate(TimePoint now) {
  this->reason = this->object.Unavailable() ? WaitReason::kPlatformUnavailable : WaitReason::kNone;
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
  // The version moved on, so that the update never takes effect.
  const bool primary_gone = this->primary_gone && !this->planned;
  const bool replaced = result->record.term > this->CurrentTerm();
  this->Adopt(result->version, result->record, now);
  if (!replaced) this->EnterCollecting(now, primary_gone);
}

void PromotionSystem::AwaitConfiguration(TimePoint now) {
  this->reason = this->suspicion.Active() ? WaitReason::kPrimaryUnreachable : WaitReason::kNone;
  if (!this->primary_accepted && now >= this->configured_by) {
    this->configured_by = now + this->settings.configure_limit;
    this->suspicion.Begin(now);
  }
  if (!this->primary_accepted) return;
  const PositionAnswer* opening = this->OpeningAnswer();
  if (opening != nullptr) this->OpenTerm(*opening, now);
}

const PositionAnswer* PromotionSystem::OpeningAnswer() const {
  const PositionAnswer* answer = this->FreshAnswer(this->Primary());
  if (answer == nullptr || answer->role != Role::kPrimary || answer->term != this->CurrentTerm()) return nullptr;
  const std::optional<LogPosition>& acknowledged = this->guard.Bounds().own;
  if (acknowledged && answer->position < *acknowledged) return nullptr;
  return this->KnowsNewestTerm() ? answer : nullptr;
}

bool PromotionSystem::KnowsNewestTerm() const {
  if (this->highest_term > this->CurrentTerm()) return false;
  if (this->record_confirmed) return true;
  // The platform is down. A newer term is opened at its primary first, so that one of all instances would know it.
  return this->FreshAnswers().size() == this->record->instances.size();
}

void PromotionSystem::OpenTerm(const PositionAnswer& answer, TimePoint now) {
  if (this->opened) {
    // The replicas didn't answer a primary that has lost touch with them; it may be tried again soon.
    if (this->stall_deadline) this->stall_allowed_at = now + this->settings.replication_stall_limit;
    this->Resume();
    return;
  }
  this->opened = true;
  this->opened_at = now;
  this->guard.Inherit(answer.position);
  this->guard.Thaw(this->CurrentTerm());
  PrimaryChanged change{.term = this->CurrentTerm(), .primary = this->Primary(), .base = std::nullopt};
  if (answer.position.term < this->CurrentTerm()) {
    change.base = replicas::TermBase{this->CurrentTerm(), answer.position};
  }
  this->actions.emplace_back(change);
  this->EndPlanned(PlannedOutcome::kDone);
  this->primary_gone = false;
  this->phase = Phase::kServing;
  this->probes.Clear();
  this->ConfigureOthers(now);
}

void PromotionSystem::Resume() {
  if (this->guard.Frozen()) this->actions.emplace_back(ThawAcknowledgements{this->CurrentTerm()});
  this->guard.Thaw(this->CurrentTerm());
  if (this->suspended) this->actions.emplace_back(ResumePrimary{this->CurrentTerm()});
  this->suspended = false;
  this->stall_deadline.reset();
  this->phase = Phase::kServing;
  this->probes.Clear();
  this->suspicion.Clear();
}

void PromotionSystem::StartPlanned(PlannedChange change, TimePoint now) {
  change.stage = PlannedStage::kReading;
  change.deadline = now + this->settings.platform_limit;
  this->planned = change;
  this->phase = Phase::kDraining;
  this->object.Read(now);
}

std::optional<EndpointName> PromotionSystem::PlannedTarget(const std::optional<EndpointName>& wanted) const {
  std::optional<PositionAnswer> best;
  for (const Instance& instance : this->record->instances) {
    const auto found = this->heard.find(instance.endpoint);
    if (instance.leaving || instance.endpoint == this->Primary() || found == this->heard.end()) continue;
    const PositionAnswer& answer = found->second.answer;
    if (answer.synced_term != this->CurrentTerm() || (wanted && instance.endpoint != *wanted)) continue;
    if (!best || best->position < answer.position) best = answer;
  }
  return best ? std::optional<EndpointName>(best->endpoint) : std::nullopt;
}

void PromotionSystem::DrainAfterRead(TimePoint now) {
  if (!this->object.IsRead()) return;
  if (!this->PlannedTarget(this->planned->target)) {
    this->CancelPlanned(PlannedOutcome::kTargetUnfit, now);
    return;
  }
  const TimePoint drain_deadline = now + this->settings.drain_limit;
  this->Suspend(true, drain_deadline);
  this->planned->stage = PlannedStage::kDraining;
  this->planned->deadline = drain_deadline + this->settings.progress_limit;
}

void PromotionSystem::CatchUp(TimePoint now) {
  const PositionAnswer* primary = this->FreshAnswer(this->Primary());
  if (primary != nullptr) this->planned->final_position = primary->position;
  const PositionAnswer* target = this->FreshAnswer(this->planned->target);
  const bool synced = target != nullptr && target->synced_term == this->CurrentTerm();
  if (synced && this->planned->final_position && target->position >= *this->planned->final_position) {
    this->reason = WaitReason::kNone;
    this->StartUpdate(*target, now);
    return;
  }
  this->reason = WaitReason::kTargetBehind;
  this->probes.Schedule(this->planned->target, now + this->settings.catch_up_interval);
}

void PromotionSystem::CancelPlanned(PlannedOutcome outcome, TimePoint now) {
  this->EndPlanned(outcome);
  this->planned_allowed_at = now + this->settings.planned_retry_pause;
  this->Resume();
}

void PromotionSystem::EndPlanned(PlannedOutcome outcome) {
  if (this->planned && this->planned->by_operator) this->actions.emplace_back(PlannedChangeEnded{outcome});
  this->planned.reset();
}

}  // namespace amaranthlane::promotion
