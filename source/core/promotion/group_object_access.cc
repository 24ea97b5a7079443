#include "core/promotion/group_object_access.h"

#include <algorithm>

namespace amaranthlane::promotion {

GroupObjectAccess::GroupObjectAccess(RetrySettings settings) : settings(settings) {}

void GroupObjectAccess::Read(TimePoint now) {
  this->read_wanted = true;
  this->read_request = 0;
  this->read_due = now;
}

void GroupObjectAccess::Update(TimePoint now, ObjectVersion expected_version, const replicas::GroupRecord& record) {
  this->update = UpdateGroupObject{.expected_version = expected_version, .record = record};
  this->update_state = UpdateState::kWaiting;
  this->update_due = now;
  this->result.reset();
}

void GroupObjectAccess::DropUpdate() {
  this->update_state = UpdateState::kNone;
  this->update_due = kNever;
  this->result.reset();
}

std::vector<Action> GroupObjectAccess::TakeDue(TimePoint now, RequestId& last_request) {
  std::vector<Action> actions;
  if (this->update_state == UpdateState::kSent && this->update_due <= now) {
    this->OnOutcomeUnknown(this->update.record.update_id, now);
  }
  if (this->update_state == UpdateState::kWaiting && this->update_due <= now) {
    this->update_state = UpdateState::kSent;
    this->update_due = now + this->settings.reply_timeout;
    actions.emplace_back(this->update);
  }
  const bool read_overdue = this->read_request != 0 && this->read_due <= now;
  if (read_overdue) this->OnReadFailed(this->read_request, now);
  if (this->read_wanted && this->read_request == 0 && this->read_due <= now) {
    this->read_request = ++last_request;
    this->read_due = now + this->settings.reply_timeout;
    actions.emplace_back(ReadGroupObject{this->read_request});
  }
  return actions;
}

bool GroupObjectAccess::OnRead(const GroupObjectRead& event, TimePoint now) {
  if (!this->read_wanted || event.request == 0 || event.request != this->read_request) return false;
  this->read_wanted = false;
  this->read_request = 0;
  this->read_due = kNever;
  this->failures = 0;
  if (this->update_state == UpdateState::kReading) this->ResolveUpdate(event.version, event.record, now);
  return true;
}

void GroupObjectAccess::OnReadFailed(RequestId request, TimePoint now) {
  if (!this->read_wanted || request == 0 || request != this->read_request) return;
  ++this->failures;
  this->read_request = 0;
  this->read_due = RetryTime(now, this->settings, this->failures);
}

void GroupObjectAccess::OnApplied(const UpdateApplied& event) {
  if (this->IsPending(event.update_id)) this->Finish(true, event.version, this->update.record);
}

void GroupObjectAccess::OnConflict(const UpdateConflicted& event) {
  if (!this->IsPending(event.update_id)) return;
  // An earlier attempt of the same update, whose reply was lost, makes the next attempt conflict with it.
  this->Finish(event.record.update_id == event.update_id, event.version, event.record);
}

void GroupObjectAccess::OnOutcomeUnknown(const std::string& update_id, TimePoint now) {
  if (!this->IsPending(update_id) || this->update_state != UpdateState::kSent) return;
  ++this->failures;
  this->update_state = UpdateState::kReading;
  this->update_due = kNever;
  this->Read(now);
}

void GroupObjectAccess::OnObserved(ObjectVersion version, const replicas::GroupRecord& record) {
  if (this->IsPending(record.update_id)) this->Finish(true, version, record);
}

std::optional<UpdateResult> GroupObjectAccess::TakeResult() {
  std::optional<UpdateResult> taken = std::move(this->result);
  this->result.reset();
  return taken;
}

bool GroupObjectAccess::IsReadComplete() const { return !this->read_wanted; }

bool GroupObjectAccess::PlatformUnavailable() const { return this->failures > 0; }

TimePoint GroupObjectAccess::NextDeadline() const {
  return std::min(this->read_wanted ? this->read_due : kNever, this->update_due);
}

bool GroupObjectAccess::IsPending(const std::string& update_id) const {
  return this->update_state != UpdateState::kNone && this->update.record.update_id == update_id;
}

void GroupObjectAccess::Finish(bool applied, ObjectVersion version, const replicas::GroupRecord& record) {
  this->DropUpdate();
  this->read_wanted = false;
  this->read_request = 0;
  this->failures = 0;
  this->result = UpdateResult{.applied = applied, .version = version, .record = record};
}

void GroupObjectAccess::ResolveUpdate(ObjectVersion version, const replicas::GroupRecord& record, TimePoint now) {
  if (record.update_id == this->update.record.update_id) {
    this->Finish(true, version, record);
  } else if (version == this->update.expected_version) {
    // The earlier attempt may still arrive. The update is sent again with the same id and expected version, so only one
    // of the two takes effect.
    this->update_state = UpdateState::kWaiting;
    this->update_due = now;
  } else {
    this->Finish(false, version, record);
  }
}

}  // namespace amaranthlane::promotion
