#ifndef AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_OBJECT_H_
#define AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_OBJECT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "core/types.h"

namespace amaranthlane::configuration {

// The kinds of platform objects that every VM keeps a copy of.
inline constexpr const char* kDatabaseGroupsKind = "database_groups";
inline constexpr const char* kLeadershipKind = "leadership";
inline constexpr const char* kLabelsKind = "labels";
inline constexpr const char* kSelectorsKind = "selectors";
inline constexpr const char* kCallersKind = "callers";
inline constexpr const char* kEndpointsKind = "endpoints";

// One version of a platform object, or the tombstone that its deletion left.
struct PlatformObject {
  std::string kind;
  std::string name;
  ObjectVersion version = 0;
  bool deleted = false;
  // Null for a tombstone.
  nlohmann::json value;

  bool operator==(const PlatformObject&) const = default;
};

// Parses an object as the platform and the peers send it. Throws ParseError.
PlatformObject ParsePlatformObject(const nlohmann::json& message);
nlohmann::json ToJson(const PlatformObject& object);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_PLATFORM_OBJECT_H_
