#include "core/configuration/edit_system.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "common/names.h"
#include "core/configuration/object_validation.h"

namespace amaranthlane::configuration {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{200};
constexpr std::chrono::milliseconds kCallTimeout{2000};
constexpr const char* kUpdateIdKey = "update_id";

bool HasUpdateId(const PlatformObject& object, const std::string& update_id) {
  if (object.deleted || !object.value.is_object()) {
    return false;
  }
  const auto found = object.value.find(kUpdateIdKey);
  return found != object.value.end() && *found == update_id;
}

bool SameVersion(const PlatformObject& left, const PlatformObject& right) {
  return left.version == right.version && left.deleted == right.deleted;
}

// Returns the version for the platform's condition. It is 0 for a missing object and for a tombstone.
ObjectVersion ExpectedVersionOf(const PlatformObject& base) { return base.deleted ? 0 : base.version; }

}  // namespace

const char* EditEffectName(EditEffect effect) { return effect == EditEffect::kNotApplied ? "not_applied" : "unknown"; }

EditSystem::EditSystem(VmName vm, Incarnation incarnation) : vm(std::move(vm)), incarnation(incarnation) {}

std::vector<EditAction> EditSystem::Tick(TimePoint now, std::span<const EditEvent> events) {
  Step step{now, {}};
  for (const EditEvent& event : events) {
    std::visit([this, &step](const auto& typed) { this->On(step, typed); }, event);
  }
  std::vector<std::uint64_t> ids;
  for (const auto& [id, edit] : this->edits) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    this->RunTimers(step, *this->Find(id));
  }
  return std::move(step.actions);
}

TimePoint EditSystem::NextDeadline() const {
  TimePoint next = kNever;
  for (const auto& [id, edit] : this->edits) {
    next = std::min({next, edit.call_deadline, edit.retry_at, edit.deadline});
  }
  return next;
}

void EditSystem::On(Step& step, const EditSubmitted& event) {
  PendingEdit edit;
  edit.id = event.edit_id;
  edit.request = event.request;
  edit.deadline = event.deadline;
  try {
    if (event.request.remove && !IsEditableKind(event.request.kind)) {
      throw ParseError("edit", "kind", "a kind that operators may edit");
    }
    RequireName(event.request.name, "edit", "name");
    if (!event.request.remove) {
      ValidateObject(event.request.kind, event.request.name, event.request.value);
    }
  } catch (const ParseError& error) {
    this->Finish(step, edit, EditInvalid{error.key, error.expected});
    return;
  }
  edit.update_id = this->vm + "/" + std::to_string(this->incarnation) + "/" + std::to_string(this->next_update++);
  if (!event.request.remove) {
    edit.request.value[kUpdateIdKey] = edit.update_id;
  }
  const auto [entry, added] = this->edits.emplace(edit.id, std::move(edit));
  if (added) {
    this->SendRead(step, entry->second);
  }
}

// Valid in every phase: a late response also decides an edit that is in doubt.
void EditSystem::On(Step& step, const EditWriteSucceeded& event) {
  if (PendingEdit* edit = this->Find(event.edit_id)) {
    const EditRequest& request = edit->request;
    const nlohmann::json value = request.remove ? nlohmann::json() : request.value;
    this->Finish(step, *edit, EditApplied{{request.kind, request.name, event.version, request.remove, value}});
  }
}

void EditSystem::On(Step& step, const EditWriteConflicted& event) {
  PendingEdit* edit = this->Find(event.edit_id);
  if (edit == nullptr) {
    return;
  }
  if (HasUpdateId(event.current, edit->update_id) || (edit->request.remove && event.current.deleted)) {
    this->Finish(step, *edit, EditApplied{event.current});
    return;
  }
  const EditEffect effect = edit->in_doubt ? EditEffect::kUnknown : EditEffect::kNotApplied;
  this->Finish(step, *edit, EditConflict{edit->request, event.current, effect});
}

void EditSystem::On(Step& step, const EditWriteFailed& event) {
  PendingEdit* edit = this->Find(event.edit_id);
  if (edit == nullptr || edit->phase != Phase::kWriting) {
    return;
  }
  if (event.sent) {
    this->CheckLostUpdate(step, *edit);
  } else {
    this->RetryLater(step, *edit);
  }
}

void EditSystem::On(Step& step, const EditReadSucceeded& event) {
  PendingEdit* edit = this->Find(event.edit_id);
  if (edit == nullptr) {
    return;
  }
  if (edit->phase == Phase::kReading) {
    this->StartUpdate(step, *edit, event.object);
  } else if (edit->phase == Phase::kChecking) {
    this->ResolveLostUpdate(step, *edit, event.object);
  }
}

void EditSystem::On(Step& step, const EditReadFailed& event) {
  PendingEdit* edit = this->Find(event.edit_id);
  if (edit != nullptr && edit->phase != Phase::kWriting) {
    this->RetryLater(step, *edit);
  }
}

// Sends the first update with the version that was read as its condition, unless the operator expected another version.
void EditSystem::StartUpdate(Step& step, PendingEdit& edit, const PlatformObject& base) {
  edit.base = base;
  if (edit.request.expected_version && *edit.request.expected_version != ExpectedVersionOf(base)) {
    this->Finish(step, edit, EditConflict{edit.request, base, EditEffect::kNotApplied});
    return;
  }
  if (edit.request.remove && base.deleted) {
    this->Finish(step, edit, EditApplied{base});
    return;
  }
  try {
    if (!edit.request.remove && !base.deleted) {
      ValidateChange(edit.request.kind, base.value, edit.request.value);
    }
  } catch (const ParseError& error) {
    this->Finish(step, edit, EditInvalid{error.key, error.expected});
    return;
  }
  this->SendWrite(step, edit);
}

// Determines from the current object whether an update whose response was lost took effect.
void EditSystem::ResolveLostUpdate(Step& step, PendingEdit& edit, const PlatformObject& current) {
  if (HasUpdateId(current, edit.update_id) || (edit.request.remove && current.deleted)) {
    this->Finish(step, edit, EditApplied{current});
    return;
  }
  if (!SameVersion(current, edit.base)) {
    // The update's condition can no longer hold, but it may have held earlier.
    this->Finish(step, edit, EditConflict{edit.request, current, EditEffect::kUnknown});
    return;
  }
  if (edit.base.deleted) {
    // The condition "no such object" holds again once someone deletes the object that the lost update created, so a
    // second update could revert that deletion. The edit only waits for the first one to arrive.
    this->RetryLater(step, edit);
    return;
  }
  this->SendWrite(step, edit);
}

void EditSystem::CheckLostUpdate(Step& step, PendingEdit& edit) {
  edit.in_doubt = true;
  edit.phase = Phase::kChecking;
  this->SendRead(step, edit);
}

void EditSystem::RunTimers(Step& step, PendingEdit& edit) {
  const bool write_pending = edit.phase == Phase::kWriting && edit.call_deadline != kNever;
  if (step.now >= edit.deadline) {
    const bool unknown = edit.in_doubt || write_pending;
    this->Finish(step, edit, EditTimedOut{unknown ? EditEffect::kUnknown : EditEffect::kNotApplied});
  } else if (step.now >= edit.call_deadline) {
    if (write_pending) {
      this->CheckLostUpdate(step, edit);
    } else {
      this->SendRead(step, edit);
    }
  } else if (step.now >= edit.retry_at) {
    if (edit.phase == Phase::kWriting) {
      this->SendWrite(step, edit);
    } else {
      this->SendRead(step, edit);
    }
  }
}

void EditSystem::SendWrite(Step& step, PendingEdit& edit) {
  edit.phase = Phase::kWriting;
  edit.call_deadline = step.now + kCallTimeout;
  edit.retry_at = kNever;
  const EditRequest& request = edit.request;
  step.actions.emplace_back(
      EditWrite{edit.id, request.kind, request.name, request.remove, ExpectedVersionOf(edit.base), request.value});
}

void EditSystem::SendRead(Step& step, PendingEdit& edit) {
  edit.call_deadline = step.now + kCallTimeout;
  edit.retry_at = kNever;
  step.actions.emplace_back(EditRead{edit.id, edit.request.kind, edit.request.name});
}

void EditSystem::RetryLater(const Step& step, PendingEdit& edit) {
  edit.call_deadline = kNever;
  edit.retry_at = step.now + kRetryInterval;
}

void EditSystem::Finish(Step& step, const PendingEdit& edit, EditResult result) {
  const std::uint64_t id = edit.id;
  step.actions.emplace_back(EditEnded{id, std::move(result)});
  this->edits.erase(id);
}

EditSystem::PendingEdit* EditSystem::Find(std::uint64_t edit_id) {
  const auto found = this->edits.find(edit_id);
  return found == this->edits.end() ? nullptr : &found->second;
}

}  // namespace amaranthlane::configuration
