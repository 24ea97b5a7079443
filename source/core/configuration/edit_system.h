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

// Applies operators' edits at the platform. Each edit is a conditional update with a unique id in the object. An edit
// ends as applied once it is known to have taken effect. After a lost response, a read that compares the id decides.
class EditSystem {
 public:
  // `vm` and `incarnation` make the update ids unique.
  EditSystem(VmName vm, Incarnation incarnation);

  std::vector<EditAction> Tick(TimePoint now, std::span<const EditEvent> events);

  // The next time at which Tick() has something to do without an event, or kNever.
  TimePoint NextDeadline() const;

 private:
  enum class Phase : std::uint8_t {
    // Reading the current object, whose version becomes the update's condition.
    kReading,
    // An update is pending or about to be sent again.
    kWriting,
    // An update's response was lost; reading the current object to find out whether it was applied.
    kChecking,
  };

  struct PendingEdit {
    std::uint64_t id = 0;
    EditRequest request;
    std::string update_id;
    Phase phase = Phase::kReading;
    // The object at the platform when the edit began.
    PlatformObject base;
    // True once the response to an update was lost.
    bool in_doubt = false;
    // When the pending call times out; kNever when none is pending.
    TimePoint call_deadline = kNever;
    // When the next call of this phase is sent; kNever when none is scheduled.
    TimePoint retry_at = kNever;
    TimePoint deadline = kNever;
  };

  struct Step {
    TimePoint now;
    std::vector<EditAction> actions;
  };

  void On(Step& step, const EditSubmitted& event);
  void On(Step& step, const EditWriteSucceeded& event);
  void On(Step& step, const EditWriteConflicted& event);
  void On(Step& step, const EditWriteFailed& event);
  void On(Step& step, const EditReadSucceeded& event);
  void On(Step& step, const EditReadFailed& event);

  void StartUpdate(Step& step, PendingEdit& edit, const PlatformObject& base);
  void ResolveLostUpdate(Step& step, PendingEdit& edit, const PlatformObject& current);
  void CheckLostUpdate(Step& step, PendingEdit& edit);
  void RunTimers(Step& step, PendingEdit& edit);
  void SendWrite(Step& step, PendingEdit& edit);
  void SendRead(Step& step, PendingEdit& edit);
  void RetryLater(const Step& step, PendingEdit& edit);
  void Finish(Step& step, const PendingEdit& edit, EditResult result);
  PendingEdit* Find(std::uint64_t edit_id);

  VmName vm;
  Incarnation incarnation;
  std::uint64_t next_update = 1;
  std::map<std::uint64_t, PendingEdit> edits;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_
