#include "core/configuration/object_validation.h"

#include <algorithm>
#include <array>

#include "common/error.h"
#include "common/names.h"
#include "core/configuration/caller.h"
#include "core/configuration/database_group.h"
#include "core/configuration/labels.h"
#include "core/configuration/platform_object.h"
#include "core/configuration/selector.h"

namespace amaranthlane::configuration {

namespace {

void CheckDatabaseGroup(std::string_view name, const nlohmann::json& value) {
  if (ParseDatabaseGroup(value).group != name) {
    throw ParseError("database group", "group", "the name of the object");
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
      throw ParseError("database group", key, "the value that stands; only a promotion changes it");
    }
  }
}

bool IsEditableKind(std::string_view kind) { return FindRule(kind) != nullptr; }

}  // namespace amaranthlane::configuration
