#include "core/configuration/caller.h"

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::configuration {

Caller ParseCaller(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "caller");
  reader.RejectUnknown({"key_sha256", "update_id"});
  reader.StringOr("update_id", "");
  Caller caller;
  for (const std::string& digits : reader.Strings("key_sha256")) {
    caller.key_hashes.push_back(ParseSha256(digits));
  }
  if (caller.key_hashes.empty()) {
    throw ParseError("caller", "key_sha256", "at least one hash");
  }
  return caller;
}

}  // namespace amaranthlane::configuration
