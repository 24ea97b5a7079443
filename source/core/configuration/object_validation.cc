#include "core/configuration/object_validation.h"

#include <algorithm>
#include <array>

#include "common/error.h"
#include "common/json.h"
#include "common/names.h"
#include "core/configuration/caller.h"
#include "core/configuration/labels.h"
#include "core/configuration/platform_object.h"
#include "core/configuration/selector.h"
#include "core/replicas/group_record.h"

namespace amaranthlane::configuration {

namespace {

constexpr char kGroupDocument[] = "database group";

void CheckDatabaseGroup(std::string_view name, const nlohmann::json& value) {
  // Unknown members are accepted from the platform, but rejected in an edit, where they are likely misspelt.
  const json::ObjectReader reader(value, kGroupDocument);
  reader.RejectUnknown(
      {"group", "region", "term", "primary", "instances", "slots", "connections", "update_id", "history"});
  for (const nlohmann::json& instance : reader.Array("instances")) {
    json::ObjectReader(instance, kGroupDocument).RejectUnknown({"endpoint", "address", "data_centre", "state"});
  }
  if (replicas::ParseGroupRecord(value).group != name) {
    throw ParseError(kGroupDocument, "group", "the name of the object");
  }
}

// The validation of the values of one kind.
struct KindValidator {
  std::string_view kind;
  void (*validate)(std::string_view name, const nlohmann::json& value);
};

constexpr std::array kValidators = {
    KindValidator{kLabelsKind, [](std::string_view, const nlohmann::json& value) { ParseLabels(value); }},
    KindValidator{kSelectorsKind, [](std::string_view, const nlohmann::json& value) { ParseSelector(value); }},
    KindValidator{kCallersKind, [](std::string_view, const nlohmann::json& value) { ParseCaller(value); }},
    KindValidator{kDatabaseGroupsKind, CheckDatabaseGroup},
};

const KindValidator* FindValidator(std::string_view kind) {
  const auto found = std::find_if(kValidators.begin(), kValidators.end(),
                                  [kind](const KindValidator& validator) { return validator.kind == kind; });
  return found == kValidators.end() ? nullptr : &*found;
}

}  // namespace

void ValidateObject(std::string_view kind, std::string_view name, const nlohmann::json& value) {
  const KindValidator* validator = FindValidator(kind);
  if (validator == nullptr) {
    throw ParseError("edit", "kind", "labels, selectors, callers or database_groups");
  }
  RequireName(std::string(name), "edit", "name");
  validator->validate(name, value);
}

void ValidateChange(std::string_view kind, const nlohmann::json& current, const nlohmann::json& value) {
  if (kind != kDatabaseGroupsKind) {
    return;
  }
  for (const char* key : {"term", "primary"}) {
    if (current.contains(key) && current.at(key) != value.at(key)) {
      throw ParseError(kGroupDocument, key, "the current value; only a promotion changes it");
    }
  }
}

bool IsEditableKind(std::string_view kind) { return FindValidator(kind) != nullptr; }

}  // namespace amaranthlane::configuration
