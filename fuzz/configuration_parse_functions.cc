#include "common/json.h"
#include "core/configuration/caller.h"
#include "core/configuration/differences.h"
#include "core/configuration/digest.h"
#include "core/configuration/labels.h"
#include "core/configuration/platform_object.h"
#include "core/configuration/selector.h"
#include "parse_functions.h"
#include "round_trip.h"

namespace amaranthlane::fuzz {

namespace {

using namespace configuration;  // NOLINT(google-build-using-namespace): all entries belong to this subsystem

std::string DifferencesRequestSample() {
  const DifferencesRequest request{"dub-a-1", 7, {{kLabelsKind, std::vector<std::uint64_t>(kBucketCount, 5)}}};
  return ToJson(request).dump();
}

}  // namespace

std::vector<ParseFunction> ConfigurationParseFunctions() {
  return {
      {"PlatformObject",
       RoundTrip<ParsePlatformObject>,
       {R"({"kind":"labels","name":"a","version":7,"deleted":false,"value":{"x":[1]}})",
        R"({"kind":"labels","name":"a","version":8,"deleted":true})"}},
      {"ConfigurationDigest",
       RoundTrip<ParseConfigurationDigest>,
       {R"({"complete_through":9,"kinds":[{"kind":"labels","hash":18446744073709551615,"highest_version":7}]})"}},
      {"DigestSummary", RoundTrip<ParseDigestSummary>, {R"({"complete_through":9,"hash":18446744073709551615})"}},
      {"DifferencesRequest",
       RoundTrip<ParseDifferencesRequest>,
       {R"({"vm":"dub-a-1","after":7,"buckets":[]})", DifferencesRequestSample()}},
      {"DifferencesAnswer",
       RoundTrip<ParseDifferencesReply>,
       {R"({"complete_through":9,"more":true,"objects":[{"kind":"labels","name":"a","version":7,"value":{}}]})"}},
      {"Labels",
       ParseOnly<ParseLabels>,
       {R"({"groups":["g"],"callers":["c"],"kinds":["k"],"labels":{"tier":"gold"},"update_id":"u"})"}},
      {"Selector",
       ParseOnly<ParseSelector>,
       {R"({"priority":5,"match":[{"key":"kind.tier","equals":"a"},{"key":"b","in":["x","y"]},
          {"key":"c","exists":false},{"key":"d","not_in":["z"]}],"owes":{"rank":"urgent","freshness_ms":0,
          "acknowledgement":"replicated","read_your_writes":true,"idempotent":false,"time_limit_ms":900,
          "floor":0.25}})"}},
      {"Caller",
       ParseOnly<ParseCaller>,
       {R"({"key_sha256":["ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"]})"}},
  };
}

}  // namespace amaranthlane::fuzz
