#include "core/configuration/differences.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::configuration {

namespace {

KindBuckets ParseKindBuckets(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "differences request");
  reader.RejectUnknown({"kind", "hashes"});
  KindBuckets buckets{reader.String("kind"), {}};
  for (const nlohmann::json& hash : reader.Array("hashes")) {
    if (!hash.is_number_unsigned()) {
      throw ParseError("differences request", "hashes", "an array of whole numbers");
    }
    buckets.hashes.push_back(hash.get<std::uint64_t>());
  }
  if (buckets.hashes.size() != kBucketCount) {
    throw ParseError("differences request", "hashes", "one hash for each bucket");
  }
  return buckets;
}

}  // namespace

DifferencesRequest ParseDifferencesRequest(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "differences request");
  reader.RejectUnknown({"vm", "after", "buckets"});
  DifferencesRequest request{reader.String("vm"), reader.Unsigned("after"), {}};
  for (const nlohmann::json& buckets : reader.Array("buckets")) {
    request.buckets.push_back(ParseKindBuckets(buckets));
  }
  return request;
}

nlohmann::json ToJson(const DifferencesRequest& request) {
  nlohmann::json buckets = nlohmann::json::array();
  for (const KindBuckets& kind : request.buckets) {
    buckets.push_back({{"kind", kind.kind}, {"hashes", kind.hashes}});
  }
  return {{"vm", request.vm}, {"after", request.after}, {"buckets", std::move(buckets)}};
}

DifferencesReply ParseDifferencesReply(const nlohmann::json& message) {
  const json::ObjectReader reader(message, "differences reply");
  reader.RejectUnknown({"complete_through", "objects", "more"});
  DifferencesReply reply;
  reply.complete_through = reader.Unsigned("complete_through");
  reply.more = reader.Bool("more");
  for (const nlohmann::json& object : reader.Array("objects")) {
    reply.objects.push_back(ParsePlatformObject(object));
  }
  if (reply.more && reply.objects.empty()) {
    throw ParseError("differences reply", "objects", "at least one object if more is true");
  }
  return reply;
}

nlohmann::json ToJson(const DifferencesReply& reply) {
  nlohmann::json objects = nlohmann::json::array();
  for (const PlatformObject& object : reply.objects) {
    objects.push_back(ToJson(object));
  }
  return {{"complete_through", reply.complete_through}, {"objects", std::move(objects)}, {"more", reply.more}};
}

}  // namespace amaranthlane::configuration
