#include "platform/decoders.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "common/json.h"
#include "platform/stored_object.h"

namespace amaranthlane::platform {
namespace {

// Serializes and parses the document again, because the parser stores positive integers as unsigned and a literal in
// C++ gives a signed one.
nlohmann::json Reparsed(const nlohmann::json& document) { return nlohmann::json::parse(document.dump()); }

nlohmann::json EntryJson() {
  return Reparsed({{"service", "huvo11a"},
                   {"address", "10.128.0.9:8080"},
                   {"zone", "dub-a"},
                   {"version", "v1"},
                   {"slots", 5},
                   {"state", "ready"},
                   {"db_role", "replica"},
                   {"sequence", 4}});
}

nlohmann::json ConfigurationJson() {
  return nlohmann::json::parse(R"({"version":7,"routes":[
      {"name":"r-1","host":"lepu270","path_prefix":"/","route_type":"primary","timeout_ms":1000,"target_latency_ms":200,
       "priority":0,"service":"huvo11a","max_attempts":2},
      {"name":"r-2","host":"xapu221","route_type":"bounded_staleness","timeout_ms":3000,"target_latency_ms":1500,
       "priority":5,"service":"huvo11a","max_staleness_ms":1500}],
      "services":[{"name":"huvo11a","max_conns":34,"sync_replicas":1}],"limits":{"tx_idle_ms":3000}})");
}

TEST(Decoders, ReadsAnEndpointEntry) {
  const failover::EndpointEntry entry = ParseEndpointEntry("i-1", EntryJson());
  EXPECT_EQ(entry.group, "huvo11a");
  EXPECT_EQ(entry.data_centre, "dub-a");
  EXPECT_FALSE(entry.claims_primary);
  EXPECT_FALSE(entry.draining);
}

// The store may hold entries that another program wrote; they must not be taken for usable endpoints.
TEST(Decoders, RejectsAnEntryWithMissingOrInvalidMembers) {
  for (const char* key : {"service", "address", "slots", "state", "db_role"}) {
    nlohmann::json entry = EntryJson();
    entry.erase(key);
    EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError) << key;
    entry[key] = nlohmann::json::array();
    EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError) << key;
  }
  nlohmann::json entry = EntryJson();
  entry["state"] = "retired";
  EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError);
  EXPECT_THROW(ParseEndpointEntry("i-1", "text"), ParseError);
  EXPECT_THROW(ParseEndpointEntry("i-1", nullptr), ParseError);
}

TEST(Decoders, RejectsAnEntryWithAnUnusableAddressOrName) {
  nlohmann::json entry = EntryJson();
  for (const char* address : {"10.128.0.9:70000", "10.128.0.9:0", "10.128.0.9:-1", "10.128.0.9", "host:80", ""}) {
    entry["address"] = address;
    EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError) << address;
  }
  entry = EntryJson();
  for (const std::string& word : {std::string(), std::string("a b"), std::string("a\r\nQUIT"), std::string(256, 'a')}) {
    EXPECT_THROW(ParseEndpointEntry(word, entry), ParseError) << word;
    entry["service"] = word;
    EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError) << word;
    entry = EntryJson();
  }
}

TEST(Decoders, RejectsNumbersThatAreNotWholeOrOutOfRange) {
  for (const char* number : {"-1", "0.5", "1e300", "18446744073709551615", "18446744073709551616"}) {
    nlohmann::json entry = EntryJson();
    entry["slots"] = nlohmann::json::parse(number);
    EXPECT_THROW(ParseEndpointEntry("i-1", entry), ParseError) << number;
  }
}

TEST(Decoders, BoundsTimesOfTheConfiguration) {
  nlohmann::json document = ConfigurationJson();
  document["routes"][1]["max_staleness_ms"] = 1e300;
  document["routes"][1]["timeout_ms"] = -1e300;
  const proxy::Route route = ParseConfiguration(document).routes.at("xapu221");
  EXPECT_EQ(route.max_staleness, std::chrono::hours(24));
  EXPECT_EQ(route.statement_timeout, Duration::zero());
}

TEST(Decoders, ReadsTheConfiguration) {
  const proxy::Configuration configuration = ParseConfiguration(ConfigurationJson());
  EXPECT_EQ(configuration.version, 7U);
  EXPECT_EQ(configuration.routes.at("lepu270").consistency, proxy::ReadConsistency::kPrimary);
  EXPECT_EQ(configuration.routes.at("lepu270").rank, Rank::kUrgent);
  EXPECT_EQ(configuration.routes.at("xapu221").rank, Rank::kBulk);
  EXPECT_EQ(configuration.routes.at("xapu221").max_staleness, std::chrono::milliseconds(1500));
  EXPECT_EQ(configuration.groups.at("huvo11a").max_connections, 34U);
  EXPECT_EQ(configuration.groups.at("huvo11a").synchronous_replicas, 1U);
}

nlohmann::json Tenant(const std::string& name, const nlohmann::json& keys) {
  return {{"name", name}, {"api_keys", keys}, {"rate_per_s", 100}, {"burst", 50}};
}

TEST(Decoders, ReadsOrganisations) {
  nlohmann::json document = ConfigurationJson();
  EXPECT_FALSE(ParseConfiguration(document).access.RequiresKeys());
  document["tenants"] = {Tenant("a", {"k1", "k2"}), Tenant("b", {"k3"})};
  document["routes"][0]["public"] = true;
  const proxy::Configuration configuration = ParseConfiguration(document);
  EXPECT_TRUE(configuration.access.RequiresKeys());
  EXPECT_EQ(configuration.access.Authorize(access::HashKey("k2"), false).organisation, "a");
  EXPECT_EQ(*configuration.access.FindRateLimit("b"), (quotas::RateLimit{100, 50}));
  EXPECT_TRUE(configuration.routes.at("lepu270").is_public);
  EXPECT_TRUE(configuration.problems.empty());
}

TEST(Decoders, AListOfNoOrganisationsStillRequiresKeys) {
  nlohmann::json document = ConfigurationJson();
  for (const nlohmann::json& tenants : {nlohmann::json::array(), nlohmann::json::object(), nlohmann::json(7)}) {
    document["tenants"] = tenants;
    EXPECT_TRUE(ParseConfiguration(document).access.RequiresKeys()) << tenants;
  }
}

// One invalid entry must end no process and take no other entry with it.
TEST(Decoders, LeavesOutInvalidOrganisationsAndKeepsTheOthers) {
  nlohmann::json document = ConfigurationJson();
  nlohmann::json negative = Tenant("negative", {"k4"});
  negative["rate_per_s"] = -1;
  nlohmann::json text = Tenant("text", {"k5"});
  text["rate_per_s"] = "many";
  document["tenants"] = {Tenant("a", {"k1", "same"}),
                         Tenant("b", {"same"}),
                         Tenant("a", {"k2"}),
                         Tenant("two words", {"k3"}),
                         negative,
                         text,
                         Tenant("empty", {"", "k6"}),
                         nlohmann::json("nothing"),
                         Tenant("keyless", nlohmann::json::array())};
  const proxy::Configuration configuration = ParseConfiguration(document);
  const access::AccessTable& access = configuration.access;
  EXPECT_TRUE(access.Authorize(access::HashKey("k1"), false).allowed);
  EXPECT_TRUE(access.Authorize(access::HashKey("k6"), false).allowed);
  for (const char* key : {"same", "k2", "k3", "k4", "k5", ""}) {
    EXPECT_FALSE(access.Authorize(access::HashKey(key), false).allowed) << key;
  }
  EXPECT_EQ(configuration.problems.size(), 7U);
}

TEST(Decoders, ReadsUnusualRateLimits) {
  nlohmann::json document = ConfigurationJson();
  nlohmann::json fractional = Tenant("fractional", {"k1"});
  fractional["rate_per_s"] = 0.25;
  nlohmann::json huge = Tenant("huge", {"k2"});
  huge["rate_per_s"] = 1e300;
  huge["burst"] = 1e300;
  nlohmann::json zero = Tenant("zero", {"k3"});
  zero["rate_per_s"] = 0;
  zero["burst"] = 0;
  nlohmann::json unlimited = Tenant("unlimited", {std::string(1U << 20U, 'k')});
  unlimited.erase("rate_per_s");
  document["tenants"] = {fractional, huge, zero, unlimited};
  const access::AccessTable access = ParseConfiguration(document).access;
  EXPECT_EQ(access.FindRateLimit("fractional")->operations_per_second, 0.25);
  EXPECT_EQ(access.FindRateLimit("huge")->operations_per_second, 1e9);
  EXPECT_EQ(access.FindRateLimit("zero")->operations_per_second, 0);
  EXPECT_EQ(access.FindRateLimit("unlimited"), nullptr);
}

// No problem that is logged may repeat a key.
TEST(Decoders, TellsNoKeys) {
  nlohmann::json document = ConfigurationJson();
  document["tenants"] = {Tenant("a", {"secret"}), Tenant("b", {"secret"}), Tenant("a", {"secret"}),
                         Tenant("", {"secret"})};
  for (const std::string& problem : ParseConfiguration(document).problems) {
    EXPECT_EQ(problem.find("secret"), std::string::npos) << problem;
  }
}

TEST(Decoders, ManyInvalidOrganisationsAreToldInPart) {
  nlohmann::json document = ConfigurationJson();
  document["tenants"] = nlohmann::json::array();
  for (int entry = 0; entry < 100 * 1000; ++entry) {
    document["tenants"].push_back(Tenant("a", {"k"}));
  }
  EXPECT_EQ(ParseConfiguration(document).problems.size(), proxy::kMaxConfigurationProblems);
}

TEST(Decoders, RejectsAnUnknownRouteType) {
  nlohmann::json document = ConfigurationJson();
  document["routes"][0]["route_type"] = "nearest";
  EXPECT_THROW(ParseConfiguration(document), ParseError);
}

// One entry with bytes that aren't UTF-8 must not hide the others.
TEST(StoreResponse, ReplacesBytesThatAreNotUtf8) {
  const nlohmann::json document = json::ParseSharedDocument(
      "{\"items\":[\"good\",\"b\xff\xfe"
      "d\"]}",
      "sample");
  EXPECT_EQ(document["items"][0], "good");
  EXPECT_THROW(json::ParseSharedDocument("{\"items\":", "sample"), ParseError);
}

TEST(StoreResponse, RequiresAnObjectsNameAndRevision) {
  EXPECT_EQ(ParseStoredObject(Reparsed({{"meta", {{"name", "main"}, {"revision", 4}}}, {"spec", nullptr}})).revision,
            4U);
  EXPECT_THROW(ParseStoredObject({{"meta", {{"name", "main"}}}}), ParseError);
  EXPECT_THROW(ParseStoredObject({{"spec", 1}}), ParseError);
}

}  // namespace
}  // namespace amaranthlane::platform
