#ifndef AMARANTHLANE_CORE_CONFIGURATION_DIFFERENCES_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DIFFERENCES_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/configuration/platform_object.h"
#include "core/types.h"

// The messages of anti-entropy between two VMs: `POST /v1/peer/objects`.
namespace amaranthlane::configuration {

// The number of buckets into which the objects of each kind are divided, by the hashes of their names.
inline constexpr std::size_t kBucketCount = 64;

// The hashes of one kind's buckets at the requesting VM. An object's name determines its bucket.
struct KindBuckets {
  std::string kind;
  std::vector<std::uint64_t> hashes;

  bool operator==(const KindBuckets&) const = default;
};

// Requests from a peer the objects that the sender lacks.
struct DifferencesRequest {
  VmName vm;
  // Only objects with a version above this one are sent.
  ObjectVersion after = 0;
  // If empty, objects of all kinds are sent; otherwise only objects of these kinds, from buckets whose hashes differ at
  // the peer.
  std::vector<KindBuckets> buckets;

  bool operator==(const DifferencesRequest&) const = default;
};

struct DifferencesReply {
  // A VM that was complete through `DifferencesRequest::after` is complete through this version once it has applied
  // `objects`.
  ObjectVersion complete_through = 0;
  // In ascending order of version.
  std::vector<PlatformObject> objects;
  // True when the size limit was reached. `after` of the next request is the last object's version.
  bool more = false;

  bool operator==(const DifferencesReply&) const = default;
};

// All parse functions throw ParseError.
DifferencesRequest ParseDifferencesRequest(const nlohmann::json& message);
nlohmann::json ToJson(const DifferencesRequest& request);
DifferencesReply ParseDifferencesReply(const nlohmann::json& message);
nlohmann::json ToJson(const DifferencesReply& reply);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DIFFERENCES_H_
