#include "core/configuration/digest.h"

#include <xxhash.h>

#include "common/json.h"

namespace amaranthlane::configuration {

namespace {

KindDigest ParseKindDigest(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "configuration digest");
  reader.RejectUnknown({"kind", "hash", "highest_version"});
  return {reader.String("kind"), reader.Unsigned("hash"), reader.Unsigned("highest_version")};
}

}  // namespace

DigestSummary Summarize(const ConfigurationDigest& digest) {
  std::uint64_t hash = 0;
  for (const KindDigest& kind : digest.kinds) {
    // Each hash seeds the next, so that the hashes of two kinds can't cancel each other out.
    hash = XXH3_64bits_withSeed(kind.kind.data(), kind.kind.size(), hash);
    hash = XXH3_64bits_withSeed(&kind.hash, sizeof(kind.hash), hash);
    hash = XXH3_64bits_withSeed(&kind.highest_version, sizeof(kind.highest_version), hash);
  }
  return {digest.complete_through, hash};
}

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

DigestSummary ParseDigestSummary(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "digest summary");
  reader.RejectUnknown({"complete_through", "hash"});
  return {reader.Unsigned("complete_through"), reader.Unsigned("hash")};
}

nlohmann::json ToJson(const DigestSummary& summary) {
  return {{"complete_through", summary.complete_through}, {"hash", summary.hash}};
}

}  // namespace amaranthlane::configuration
