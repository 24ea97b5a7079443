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
  // The exclusive or of the hashes of (kind, name, version), so the order of arrival doesn't matter.
  std::uint64_t hash = 0;
  ObjectVersion highest_version = 0;

  bool operator==(const KindDigest&) const = default;
};

// A summary of a VM's configuration. It rides on each heartbeat.
struct ConfigurationDigest {
  // Every change up to this version is in force at the VM.
  ObjectVersion complete_through = 0;
  // In the order of the kinds' names; a kind without objects is absent.
  std::vector<KindDigest> kinds;

  bool operator==(const ConfigurationDigest&) const = default;
};

// Stands for a digest towards a VM that probably holds the same objects.
struct DigestSummary {
  ObjectVersion complete_through = 0;
  // The hash of all kinds' digests.
  std::uint64_t hash = 0;

  bool operator==(const DigestSummary&) const = default;
};

DigestSummary Summarize(const ConfigurationDigest& digest);

// Reads the `configuration` member of a heartbeat. Throws ParseError.
ConfigurationDigest ParseConfigurationDigest(const nlohmann::json& message);
nlohmann::json ToJson(const ConfigurationDigest& digest);

// Throws ParseError.
DigestSummary ParseDigestSummary(const nlohmann::json& message);
nlohmann::json ToJson(const DigestSummary& summary);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DIGEST_H_
