#include "core/coordination/messages.h"

#include <algorithm>

#include "common/json.h"

namespace amaranthlane::coordination {

namespace {

std::optional<CoordinationRecord> ParseOptionalRecord(const json::ObjectReader& reader) {
  if (!reader.Has("record")) {
    return std::nullopt;
  }
  return ParseCoordinationRecord(reader.Object("record"));
}

// The largest age that is sent, as larger ones make no difference. A VM that never had an answer from the store would
// otherwise report its uptime.
constexpr std::chrono::hours kMaxAge{1};

std::uint64_t Milliseconds(Duration duration) {
  const Duration bounded = std::clamp<Duration>(duration, Duration::zero(), kMaxAge);
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(bounded).count());
}

std::optional<Duration> ParseOptionalAge(const json::ObjectReader& reader, const char* key) {
  return reader.Has(key) ? std::optional<Duration>(reader.Milliseconds(key)) : std::nullopt;
}

PrimaryPosition ParsePrimaryPosition(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "primary position");
  PrimaryPosition known;
  known.group = reader.String("group");
  known.position = {reader.Unsigned("term"), reader.Unsigned("offset")};
  known.age = reader.Milliseconds("age_ms");
  return known;
}

nlohmann::json ToJson(const StoreVersions& store) {
  return {{"configuration_version", store.configuration_version},
          {"directory_revision", store.directory_revision.revision},
          {"store_era", store.directory_revision.era},
          {"directory_digest", store.directory_digest}};
}

StoreVersions ParseStoreVersions(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "store versions");
  // VMs of earlier builds send no era.
  return {reader.Unsigned("configuration_version"),
          {reader.UnsignedOr("store_era", 0), reader.Unsigned("directory_revision")},
          reader.String("directory_digest")};
}

}  // namespace

nlohmann::json ToJson(const HeartbeatRequest& heartbeat) {
  nlohmann::json document = {{"vm", heartbeat.vm},
                             {"incarnation", heartbeat.incarnation},
                             {"address", heartbeat.address},
                             {"relay_address", heartbeat.relay_address},
                             {"data_centre", heartbeat.data_centre},
                             {"accepts_notices", heartbeat.accepts_notices},
                             {"millicores", heartbeat.processor_share.count},
                             {"version", heartbeat.version},
                             {"busy", heartbeat.groups_in_use},
                             {"suspects", heartbeat.unreachable_endpoints},
                             {"reaches", heartbeat.reachable_groups},
                             {"released", heartbeat.released_groups},
                             {"fleet_digest", heartbeat.fleet_digest},
                             {"leaving", heartbeat.leaving},
                             {"store", ToJson(heartbeat.store)}};
  if (heartbeat.record) {
    document["record"] = ToJson(*heartbeat.record);
  }
  return document;
}

HeartbeatRequest ParseHeartbeatRequest(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "beat");
  HeartbeatRequest heartbeat;
  heartbeat.vm = reader.String("vm");
  heartbeat.incarnation = reader.Unsigned("incarnation");
  heartbeat.address = reader.Address("address");
  heartbeat.relay_address = reader.AddressOrEmpty("relay_address");
  heartbeat.data_centre = reader.String("data_centre");
  heartbeat.accepts_notices = reader.BoolOr("accepts_notices", false);
  heartbeat.processor_share.count = reader.UnsignedOr("millicores", 0);
  heartbeat.version = reader.Unsigned("version");
  heartbeat.groups_in_use = reader.Strings("busy");
  heartbeat.unreachable_endpoints = reader.Strings("suspects");
  heartbeat.reachable_groups = reader.Strings("reaches");
  const json::ObjectReader released(reader.Object("released"), "beat's released groups");
  for (const auto& member : reader.Object("released").items()) {
    heartbeat.released_groups.emplace(member.key(), released.Unsigned(member.key().c_str()));
  }
  heartbeat.fleet_digest = reader.String("fleet_digest");
  heartbeat.leaving = reader.Bool("leaving");
  heartbeat.store = ParseStoreVersions(reader.Object("store"));
  heartbeat.record = ParseOptionalRecord(reader);
  return heartbeat;
}

nlohmann::json ToJson(const HeartbeatReply& reply) {
  // Rounded up, so that a copy never appears newer than it is.
  const auto add_age = [](nlohmann::json& document, const char* key, const std::optional<Duration>& age) {
    if (age) {
      document[key] = Milliseconds(*age) + 1;
    }
  };
  nlohmann::json document = {{"vm", reply.vm},
                             {"incarnation", reply.incarnation},
                             {"promised", reply.granted},
                             {"version", reply.version},
                             {"store_silence_ms", Milliseconds(reply.store_contact_age)},
                             {"wants_relief", reply.wants_handover},
                             {"fleet_size", reply.fleet_size},
                             {"store", ToJson(reply.store)},
                             {"positions", nlohmann::json::array()}};
  add_age(document, "configuration_age_ms", reply.configuration_age);
  add_age(document, "directory_age_ms", reply.directory_age);
  for (const PrimaryPosition& known : reply.fleet_view.positions) {
    // Rounded up, so that a position never appears newer than it is.
    document["positions"].push_back({{"group", known.group},
                                     {"term", known.position.term},
                                     {"offset", known.position.offset},
                                     {"age_ms", Milliseconds(known.age) + 1}});
  }
  if (!reply.fleet_view.fleet.empty()) {
    for (const gateways::FleetVm& known : reply.fleet_view.fleet) {
      document["fleet"].push_back({{"vm", known.vm},
                                   {"relay_address", known.relay_address},
                                   {"data_centre", known.data_centre},
                                   {"accepts_notices", known.accepts_notices},
                                   {"millicores", known.processor_share.count}});
    }
  }
  if (reply.record) {
    document["record"] = ToJson(*reply.record);
  }
  return document;
}

HeartbeatReply ParseHeartbeatReply(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "beat reply");
  HeartbeatReply reply;
  reply.vm = reader.String("vm");
  reply.incarnation = reader.Unsigned("incarnation");
  reply.granted = reader.Bool("promised");
  reply.version = reader.Unsigned("version");
  reply.store_contact_age = reader.Milliseconds("store_silence_ms");
  reply.wants_handover = reader.Bool("wants_relief");
  reply.fleet_size = reader.Unsigned("fleet_size");
  reply.store = ParseStoreVersions(reader.Object("store"));
  reply.configuration_age = ParseOptionalAge(reader, "configuration_age_ms");
  reply.directory_age = ParseOptionalAge(reader, "directory_age_ms");
  for (const nlohmann::json& known : reader.Array("positions")) {
    reply.fleet_view.positions.push_back(ParsePrimaryPosition(known));
  }
  if (reader.Has("fleet")) {
    for (const nlohmann::json& known : reader.Array("fleet")) {
      const json::ObjectReader vm(known, "fleet");
      reply.fleet_view.fleet.push_back({vm.String("vm"),
                                        vm.AddressOrEmpty("relay_address"),
                                        vm.String("data_centre"),
                                        vm.BoolOr("accepts_notices", false),
                                        {vm.UnsignedOr("millicores", 0)}});
    }
  }
  reply.record = ParseOptionalRecord(reader);
  return reply;
}

}  // namespace amaranthlane::coordination
