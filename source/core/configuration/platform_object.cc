#include "core/configuration/platform_object.h"

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::configuration {

PlatformObject ParsePlatformObject(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "platform object");
  reader.RejectUnknown({"kind", "name", "version", "deleted", "value"});
  PlatformObject object;
  object.kind = reader.String("kind");
  object.name = reader.String("name");
  object.version = reader.Unsigned("version");
  object.deleted = reader.BoolOr("deleted", false);
  if (!object.deleted) {
    object.value = reader.Object("value");
  }
  if (object.kind.empty() || object.name.empty()) {
    throw ParseError("platform object", object.kind.empty() ? "kind" : "name", "a name");
  }
  return object;
}

nlohmann::json ToJson(const PlatformObject& object) {
  nlohmann::json message = {
      {"kind", object.kind}, {"name", object.name}, {"version", object.version}, {"deleted", object.deleted}};
  if (!object.deleted) {
    message["value"] = object.value;
  }
  return message;
}

}  // namespace amaranthlane::configuration
