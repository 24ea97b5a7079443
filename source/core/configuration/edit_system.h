#ifndef AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_
#define AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_

#include <cstdint>
#include <map>
#include <optional>
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
    // Reading the version to set the update's condition.
    kReading,
    // An update is out.
    kWriting,
    // An update's answer was lost; a read is out to see what stands.
    kChecking,
  };

  struct PendingEdit {
    std::uint64_t id = 0;
    Edit wanted;
    std::string update_id;
    Phase phase = Phase::kReading;
    ObjectVersion expected_version = 0;
    // True once an update may have reached the platform without an answer.
    bool may_have_applied = false;
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

  void Check(Step& step, PendingEdit& edit, const PlatformObject& current);
  void SendWrite(Step& step, PendingEdit& edit);
  void SendRead(Step& step, const PendingEdit& edit);
  void End(Step& step, std::uint64_t edit, EditResult result);
  void Conflict(Step& step, const PendingEdit& edit, const PlatformObject& current);
  PendingEdit* Find(std::uint64_t edit);

  VmName vm;
  Incarnation incarnation;
  std::uint64_t next_update = 1;
  std::map<std::uint64_t, PendingEdit> edits;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_EDIT_SYSTEM_H_
