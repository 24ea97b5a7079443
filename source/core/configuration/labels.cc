#include "core/configuration/labels.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "common/names.h"

namespace amaranthlane::configuration {

namespace {

constexpr const char* kDocument = "labels";
// Each group, caller and kind has its own name as the label with this key.
constexpr const char* kReservedKey = "name";

std::vector<std::string> ParseNames(const json::ObjectReader& reader, const char* key) {
  std::vector<std::string> names = reader.StringsOr(key, {});
  for (const std::string& name : names) {
    RequireName(name, kDocument, key);
  }
  return names;
}

LabelSet ParseLabelSet(const nlohmann::json& value) {
  LabelSet labels;
  for (const auto& [key, label] : value.items()) {
    if (!IsValidName(key) || key == kReservedKey) {
      throw ParseError(kDocument, "labels." + key, std::string("a key of ") + kNameFormat + ", except 'name'");
    }
    if (!label.is_string()) {
      throw ParseError(kDocument, "labels." + key, "a string");
    }
    labels.emplace(key, label.get<std::string>());
  }
  return labels;
}

}  // namespace

Labels ParseLabels(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown({"groups", "callers", "kinds", "labels", "update_id"});
  reader.StringOr("update_id", "");
  Labels labels;
  labels.groups = ParseNames(reader, "groups");
  labels.callers = ParseNames(reader, "callers");
  labels.kinds = ParseNames(reader, "kinds");
  labels.labels = ParseLabelSet(reader.Object("labels"));
  if (labels.labels.empty()) {
    throw ParseError(kDocument, "labels", "at least one label");
  }
  if (labels.groups.empty() && labels.callers.empty() && labels.kinds.empty()) {
    throw ParseError(kDocument, "groups", "at least one of groups, callers or kinds");
  }
  return labels;
}

}  // namespace amaranthlane::configuration
