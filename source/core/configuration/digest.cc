#include "core/configuration/digest.h"

#include "common/json.h"

namespace amaranthlane::configuration {

namespace {

KindDigest ParseKindDigest(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "configuration digest");
  reader.RejectUnknown({"kind", "hash", "highest_version"});
  return {reader.String("kind"), reader.Unsigned("hash"), reader.Unsigned("highest_version")};
}

}  // namespace

ConfigurationDigest ParseConfigurationDigest(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "configuration digest");
  reader.RejectUnknown({"complete_through", "kinds"});
  ConfigurationDigest digest;
  digest.complete_through = reader.Unsigned("complete_through");
  for (const nlohmann::json& kind : reader.Array("kinds")) {
    digest.kinds.push_back(ParseKindDigest(kind));
  }
  return digest;
}

nlohmann::json ToJson(const ConfigurationDigest& digest) {
  nlohmann::json kinds = nlohmann::json::array();
  for (const KindDigest& kind : digest.kinds) {
    kinds.push_back({{"kind", kind.kind}, {"hash", kind.hash}, {"highest_version", kind.highest_version}});
  }
  return {{"complete_through", digest.complete_through}, {"kinds", std::move(kinds)}};
}

}  // namespace amaranthlane::configuration
