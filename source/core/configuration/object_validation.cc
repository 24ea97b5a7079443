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
  // The platform may add members of its own, an operator's misspelt one is refused.
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

// How the values of one kind are checked.
struct KindRule {
  std::string_view kind;
  void (*check)(std::string_view name, const nlohmann::json& value);
};

constexpr std::array kRules = {
    KindRule{kLabelsKind, [](std::string_view, const nlohmann::json& value) { ParseLabels(value); }},
    KindRule{kSelectorsKind, [](std::string_view, const nlohmann::json& value) { ParseSelector(value); }},
    KindRule{kCallersKind, [](std::string_view, const nlohmann::json& value) { ParseCaller(value); }},
    KindRule{kDatabaseGroupsKind, CheckDatabaseGroup},
};

const KindRule* FindRule(std::string_view kind) {
  const auto found =
      std::find_if(kRules.begin(), kRules.end(), [kind](const KindRule& rule) { return rule.kind == kind; });
  return found == kRules.end() ? nullptr : &*found;
}

}  // namespace

void ValidateObject(std::string_view kind, std::string_view name, const nlohmann::json& value) {
  const KindRule* rule = FindRule(kind);
  if (rule == nullptr) {
    throw ParseError("edit", "kind", "labels, selectors, callers or database_groups");
  }
  RequireName(std::string(name), "edit", "name");
  rule->check(name, value);
}

void ValidateChange(std::string_view kind, const nlohmann::json& current, const nlohmann::json& value) {
  if (kind != kDatabaseGroupsKind) {
    return;
  }
  for (const char* key : {"term", "primary"}) {
    if (current.contains(key) && current.at(key) != value.at(key)) {
      throw ParseError(kGroupDocument, key, "the value that stands; only a promotion changes it");
    }
  }
}

bool IsEditableKind(std::string_view kind) { return FindRule(kind) != nullptr; }

}  // namespace amaranthlane::configuration
