#ifndef AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_
#define AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>

#include "core/configuration/platform_object.h"
#include "core/types.h"

// The events that the edit system receives, the actions that it requests and the results of edits. `edit_id` is the
// number of one edit at this VM, chosen by the submitter.
namespace amaranthlane::configuration {

// An operator's request to change or delete an object.
struct EditRequest {
  std::string kind;
  std::string name;
  // True to delete the object; `value` is then unused.
  bool remove = false;
  nlohmann::json value;
  // The version that the operator saw, or 0 if the object must not exist. If absent, the version that the edit's first
  // read returns.
  std::optional<ObjectVersion> expected_version;
};

// ---- Results ----

// The edit is known to have taken effect.
struct EditApplied {
  PlatformObject object;
};

// The edit's kind, name or value was rejected before an update was sent.
struct EditInvalid {
  std::string key;
  std::string expected;
};

// What is known about the effect of a failed edit.
enum class EditEffect : std::uint8_t {
  // It took no effect and will take none.
  kNotApplied,
  // It may have taken effect, or may still do so.
  kUnknown,
};

// "not_applied" or "unknown".
const char* EditEffectName(EditEffect effect);

// The object at the platform has another version than the edit expected.
struct EditConflict {
  EditRequest request;
  // The object or tombstone at the platform.
  PlatformObject current;
  // kUnknown if a response to the update was lost: it may have been applied and then been replaced by `current`.
  EditEffect effect = EditEffect::kNotApplied;
};

// The edit's deadline passed without a result.
struct EditTimedOut {
  EditEffect effect = EditEffect::kUnknown;
};

using EditResult = std::variant<EditApplied, EditInvalid, EditConflict, EditTimedOut>;

// ---- Events ----

struct EditSubmitted {
  std::uint64_t edit_id = 0;
  EditRequest request;
  // The edit ends by this time at the latest.
  TimePoint deadline;
};

// The conditional update succeeded.
struct EditWriteSucceeded {
  std::uint64_t edit_id = 0;
  ObjectVersion version = 0;
};

// The conditional update was rejected with 409.
struct EditWriteConflicted {
  std::uint64_t edit_id = 0;
  PlatformObject current;
};

// The conditional update got no valid response. `sent` is false only when no byte of it left this VM.
struct EditWriteFailed {
  std::uint64_t edit_id = 0;
  bool sent = true;
};

// The read succeeded. A name that the platform does not know is reported as a tombstone with version 0.
struct EditReadSucceeded {
  std::uint64_t edit_id = 0;
  PlatformObject object;
};

struct EditReadFailed {
  std::uint64_t edit_id = 0;
};

using EditEvent = std::variant<EditSubmitted, EditWriteSucceeded, EditWriteConflicted, EditWriteFailed,
                               EditReadSucceeded, EditReadFailed>;

// ---- Actions ----

// Calls `PUT` (or, with `remove`, `DELETE`) `/v1/objects/{kind}/{name}` if the version is `expected_version`. Report
// EditWriteSucceeded, EditWriteConflicted or EditWriteFailed.
struct EditWrite {
  std::uint64_t edit_id = 0;
  std::string kind;
  std::string name;
  bool remove = false;
  ObjectVersion expected_version = 0;
  // Includes the edit's `update_id`.
  nlohmann::json value;
};

// Calls `GET /v1/objects/{kind}/{name}`. Report EditReadSucceeded or EditReadFailed.
struct EditRead {
  std::uint64_t edit_id = 0;
  std::string kind;
  std::string name;
};

// Reports the result to the operator. The object of an EditApplied is passed to the distribution system as an
// ObjectReceived event.
struct EditEnded {
  std::uint64_t edit_id = 0;
  EditResult result;
};

using EditAction = std::variant<EditWrite, EditRead, EditEnded>;

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_EDIT_MESSAGES_H_
