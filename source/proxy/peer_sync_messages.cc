#include "proxy/peer_sync_messages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "common/message_field.h"

namespace amaranthlane::proxy {

namespace {

constexpr char kConfigurationDocument[] = "configuration message";
constexpr char kDirectoryDocument[] = "directory message";

std::uint64_t Milliseconds(Duration duration) {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

template <typename Enum>
Enum ParseEnum(const json::ObjectReader& reader, const char* key, Enum last_value) {
  const std::uint64_t number = reader.Unsigned(key);
  if (number > static_cast<std::uint64_t>(last_value)) {
    throw ParseError(kConfigurationDocument, key, "a known value");
  }
  return static_cast<Enum>(number);
}

Route ParseRouteMessage(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kConfigurationDocument);
  Route route;
  route.name = reader.String("name");
  route.database = reader.String("database");
  route.group = reader.String("group");
  route.consistency = ParseEnum(reader, "freshness", ReadConsistency::kReadYourWrites);
  route.max_staleness = reader.Milliseconds("greatest_age_ms");
  route.rank = ParseEnum(reader, "rank", Rank::kBulk);
  route.is_public = reader.BoolOr("public", false);
  route.statement_timeout = reader.Milliseconds("statement_limit_ms");
  route.target_latency = reader.Milliseconds("target_ms");
  return route;
}

nlohmann::json ToJson(const OrganisationName& name, const access::Organisation& organisation) {
  nlohmann::json document = {{"name", name}, {"keys", nlohmann::json::array()}};
  for (const access::KeyDigest& key : organisation.keys) {
    document["keys"].push_back(access::FormatKeyDigest(key));
  }
  if (organisation.rate_limit) {
    document["rate"] = organisation.rate_limit->operations_per_second;
    document["burst"] = organisation.rate_limit->burst;
  }
  return document;
}

access::Organisation ParseOrganisation(const json::ObjectReader& reader) {
  access::Organisation organisation;
  for (const std::string& digits : reader.Strings("keys")) {
    organisation.keys.insert(access::ParseKeyDigest(digits));
  }
  if (reader.Has("rate")) {
    organisation.rate_limit = quotas::RateLimit{reader.Number("rate"), reader.Number("burst")};
    if (organisation.rate_limit->operations_per_second < 0 || organisation.rate_limit->burst < 0) {
      throw ParseError(kConfigurationDocument, "rate or burst", "0 or more");
    }
  }
  return organisation;
}

access::AccessTable ParseAccess(const json::ObjectReader& configuration) {
  access::AccessTable table;
  if (configuration.Bool("requires_keys")) {
    table.RequireKeys();
  }
  for (const nlohmann::json& entry : configuration.Array("organisations")) {
    const json::ObjectReader reader(entry, kConfigurationDocument);
    table.Add(RequireWord(reader.String("name"), kConfigurationDocument, "name"), ParseOrganisation(reader));
  }
  return table;
}

}  // namespace

bool HasOrganisations(const nlohmann::json& document) {
  return json::ObjectReader(document, kConfigurationDocument).Has("organisations");
}

nlohmann::json ToJson(const Configuration& configuration) {
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& [database, route] : configuration.routes) {
    routes.push_back({{"name", route.name},
                      {"database", database},
                      {"group", route.group},
                      {"freshness", static_cast<unsigned>(route.consistency)},
                      {"greatest_age_ms", Milliseconds(route.max_staleness)},
                      {"rank", static_cast<unsigned>(route.rank)},
                      {"public", route.is_public},
                      {"statement_limit_ms", Milliseconds(route.statement_timeout)},
                      {"target_ms", Milliseconds(route.target_latency)}});
  }
  nlohmann::json groups = nlohmann::json::array();
  for (const auto& [name, limits] : configuration.groups) {
    groups.push_back({{"name", name},
                      {"connections", limits.max_connections},
                      {"synchronous_replicas", limits.synchronous_replicas}});
  }
  nlohmann::json document = {{"version", configuration.version},
                             {"routes", routes},
                             {"groups", groups},
                             {"requires_keys", configuration.access.RequiresKeys()},
                             {"organisations", nlohmann::json::array()},
                             {"idle_transaction_limit_ms", Milliseconds(configuration.idle_transaction_timeout)}};
  for (const auto& [name, organisation] : configuration.access.Organisations()) {
    document["organisations"].push_back(ToJson(name, organisation));
  }
  return document;
}

Configuration ParseConfigurationMessage(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kConfigurationDocument);
  Configuration configuration;
  configuration.version = reader.Unsigned("version");
  for (const nlohmann::json& entry : reader.Array("routes")) {
    Route route = ParseRouteMessage(entry);
    configuration.routes[route.database] = std::move(route);
  }
  for (const nlohmann::json& entry : reader.Array("groups")) {
    const json::ObjectReader group(entry, kConfigurationDocument);
    configuration.groups[group.String("name")] = {group.Unsigned("connections"),
                                                  group.Unsigned("synchronous_replicas")};
  }
  configuration.idle_transaction_timeout = reader.Milliseconds("idle_transaction_limit_ms");
  configuration.access = ParseAccess(reader);
  return configuration;
}

nlohmann::json ToJson(const DirectoryUpdate& update) {
  nlohmann::json entries = nlohmann::json::array();
  for (const auto& [name, entry] : update.endpoints) {
    entries.push_back({{"name", name},
                       {"group", entry.group},
                       {"address", entry.address},
                       {"data_centre", entry.data_centre},
                       {"draining", entry.draining},
                       {"claims_primary", entry.claims_primary},
                       {"slots", entry.slots},
                       {"born", entry.incarnation}});
  }
  return {{"base", update.base},
          {"revision", update.revision.revision},
          {"store_era", update.revision.era},
          {"endpoints", std::move(entries)},
          {"removed", update.removed},
          {"digest", update.digest}};
}

DirectoryUpdate ParseDirectoryMessage(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kDirectoryDocument);
  DirectoryUpdate update;
  update.base = reader.Unsigned("base");
  // VMs of earlier builds send no era.
  update.revision = {reader.UnsignedOr("store_era", 0), reader.Unsigned("revision")};
  update.removed = reader.Strings("removed");
  update.digest = reader.String("digest");
  for (const nlohmann::json& item : reader.Array("endpoints")) {
    const json::ObjectReader member(item, kDirectoryDocument);
    failover::EndpointEntry entry;
    entry.name = RequireWord(member.String("name"), kDirectoryDocument, "name");
    entry.group = RequireWord(member.String("group"), kDirectoryDocument, "group");
    entry.address = member.Address("address");
    entry.data_centre = member.String("data_centre");
    entry.draining = member.Bool("draining");
    entry.claims_primary = member.Bool("claims_primary");
    entry.slots = member.Unsigned("slots");
    entry.incarnation = member.Unsigned("born");
    update.endpoints.emplace(entry.name, entry);
  }
  return update;
}

}  // namespace amaranthlane::proxy
