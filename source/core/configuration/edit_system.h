#ifndef AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_
#define AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "core/configuration/edit_messages.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// Carries operators' edits to the platform. Each edit is a conditional update with an id of its own in the object; it
// is answered once it is known to have taken effect, and a lost answer is settled by a read that compares the id.
class EditSystem {
 public:
  // The VM and its incarnation make the update ids unique.
  EditSystem(VmName vm, Incarnation incarnation);

  std::vector<EditAction> Tick(TimePoint now, std::span<const EditEvent> events);

  // The next moment at which Tick has something to do without an event, or kNever.
  TimePoint NextDeadline() const;

 private:
  enum class Phase : std::uint8_t {
    // Reading what stands, to set the update's condition.
    kReading,
    // An update is out or about to be sent again.
    kWriting,
    // An update's answer was lost; reading what stands now.
    kChecking,
  };

  struct PendingEdit {
    std::uint64_t id = 0;
    Edit request;
    std::string update_id;
    Phase phase = Phase::kReading;
    // What stood at the platform when the edit began.
    PlatformObject base;
    // True once an update went out whose answer was lost.
    bool in_doubt = false;
    // When the call that is out counts as lost; kNever when none is out.
    TimePoint call_deadline = kNever;
    // When the next call of this phase goes out; kNever when none is due.
    TimePoint retry_at = kNever;
    TimePoint deadline = kNever;
  };

  struct Step {
    TimePoint now;
    std::vector<EditAction> actions;
  };

  void On(Step& step, const EditSubmitted& event);
  void On(Step& step, const EditWriteAnswered& event);
  void On(Step& step, const EditWriteConflicted& event);
  void On(Step& step, const EditWriteFailed& event);
  void On(Step& step, const EditReadAnswered& event);
  void On(Step& step, const EditReadFailed& event);

  void StartUpdate(Step& step, PendingEdit& edit, const PlatformObject& base);
  void ResolveLostUpdate(Step& step, PendingEdit& edit, const PlatformObject& current);
  void CheckLostUpdate(Step& step, PendingEdit& edit);
  void RunTimers(Step& step, PendingEdit& edit);
  void SendWrite(Step& step, PendingEdit& edit);
  void SendRead(Step& step, PendingEdit& edit);
  void RetryLater(const Step& step, PendingEdit& edit);
  void Finish(Step& step, const PendingEdit& edit, EditResult result);
  PendingEdit* Find(std::uint64_t edit);

  VmName vm;
  Incarnation incarnation;
  std::uint64_t next_update = 1;
  std::map<std::uint64_t, PendingEdit> edits;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_
