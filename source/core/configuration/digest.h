#ifndef AMARANTHLANE_CORE_CONFIGURATION_DIGEST_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DIGEST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

namespace amaranthlane::configuration {

// A summary of all objects of one kind that a VM holds, tombstones included.
struct KindDigest {
  std::string kind;
  // The exclusive or of the hashes of (kind, name, version) of all objects, so it does not depend on their order.
  std::uint64_t hash = 0;
  ObjectVersion highest_version = 0;

  bool operator==(const KindDigest&) const = default;
};

// A summary of a VM's configuration, sent in heartbeats.
struct ConfigurationDigest {
  // The VM has applied every change up to this version.
  ObjectVersion complete_through = 0;
  // Sorted by kind; a kind without objects is absent.
  std::vector<KindDigest> kinds;

  bool operator==(const ConfigurationDigest&) const = default;
};

// A short form of a digest, sent instead of it to a VM that probably holds the same objects.
struct DigestSummary {
  ObjectVersion complete_through = 0;
  // The hash of all kinds' digests.
  std::uint64_t hash = 0;

  bool operator==(const DigestSummary&) const = default;
};

DigestSummary Summarize(const ConfigurationDigest& digest);

// Parses the `configuration` member of a heartbeat. Throws ParseError.
ConfigurationDigest ParseConfigurationDigest(const nlohmann::json& message);
nlohmann::json ToJson(const ConfigurationDigest& digest);

// Throws ParseError.
DigestSummary ParseDigestSummary(const nlohmann::json& message);
nlohmann::json ToJson(const DigestSummary& summary);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DIGEST_H_
