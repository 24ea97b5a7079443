#ifndef AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_
#define AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "core/configuration/platform_object.h"
#include "core/types.h"

// What the edit system is told, what it asks for and how an edit ends. `edit` numbers one edit at this VM and is chosen
// by whoever submits it.
namespace amaranthlane::configuration {

// What an operator wants an object to become.
struct Edit {
  std::string kind;
  std::string name;
  // True: delete the object; `value` is unused.
  bool remove = false;
  nlohmann::json value;
  // The version that the operator saw; 0: no such object. Absent: the version that a read at the start of the edit
  // finds.
  std::optional<ObjectVersion> expected_version;
};

// ---- How an edit ends ----

// The edit is known to have taken effect.
struct EditApplied {
  PlatformObject object;
};

// The edit's kind or value was refused before anything was sent.
struct EditInvalid {
  std::string key;
  std::string expected;
};

// What is known of an edit that failed.
enum class EditEffect : std::uint8_t {
  // It took no effect and never will.
  kNotApplied,
  // It may have taken effect, or may yet.
  kUnknown,
};

// "not_applied" or "unknown".
const char* EditEffectName(EditEffect effect);

// Another edit stands where this one was to go.
struct EditConflict {
  Edit mine;
  // The object or tombstone that stands at the platform now.
  PlatformObject current;
  // kUnknown: the edit's first answer was lost, so it may have applied and then been replaced by `current`.
  EditEffect effect = EditEffect::kNotApplied;
};

// The platform didn't answer in time.
struct EditUnavailable {
  EditEffect effect = EditEffect::kUnknown;
};

using EditResult = std::variant<EditApplied, EditInvalid, EditConflict, EditUnavailable>;

// ---- Events ----

struct EditSubmitted {
  std::uint64_t edit = 0;
  Edit request;
  // The edit is answered by then.
  TimePoint deadline;
};

// The conditional update was answered with success.
struct EditWriteAnswered {
  std::uint64_t edit = 0;
  ObjectVersion version = 0;
};

// The conditional update was refused with 409.
struct EditWriteConflicted {
  std::uint64_t edit = 0;
  PlatformObject current;
};

// The conditional update got no answer. `sent` is false only when no byte of it left this VM.
struct EditWriteFailed {
  std::uint64_t edit = 0;
  bool sent = true;
};

// The read was answered; a name that the platform doesn't know is a tombstone with version 0.
struct EditReadAnswered {
  std::uint64_t edit = 0;
  PlatformObject object;
};

struct EditReadFailed {
  std::uint64_t edit = 0;
};

using EditEvent = std::variant<EditSubmitted, EditWriteAnswered, EditWriteConflicted, EditWriteFailed, EditReadAnswered,
                               EditReadFailed>;

// ---- Actions ----

// `PUT` (or, with `remove`, `DELETE`) `/v1/objects/{kind}/{name}` on condition of the version. Report
// EditWriteAnswered, EditWriteConflicted or EditWriteFailed.
struct EditWrite {
  std::uint64_t edit = 0;
  std::string kind;
  std::string name;
  bool remove = false;
  ObjectVersion expected_version = 0;
  // Holds the edit's update_id.
  nlohmann::json value;
};

// `GET /v1/objects/{kind}/{name}`. Report EditReadAnswered or EditReadFailed.
struct EditRead {
  std::uint64_t edit = 0;
  std::string kind;
  std::string name;
};

// Answers the operator. The object of an EditApplied goes to the distribution system as ObjectLearned.
struct EditEnded {
  std::uint64_t edit = 0;
  EditResult result;
};

using EditAction = std::variant<EditWrite, EditRead, EditEnded>;

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_
