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

// Ages beyond this are all the same; a VM that never heard from the store has a silence as long as its uptime.
constexpr std::chrono::hours kLongestAge{1};

std::uint64_t Milliseconds(Duration duration) {
  const Duration bounded = std::clamp<Duration>(duration, Duration::zero(), kLongestAge);
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(bounded).count());
}

KnownPosition ParseKnownPosition(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "known position");
  KnownPosition known;
  known.group = reader.String("group");
  known.position = {reader.Unsigned("term"), reader.Unsigned("offset")};
  known.age = reader.Milliseconds("age_ms");
  return known;
}

nlohmann::json ToJson(const StoreKnowledge& store) {
  return {{"configuration_version", store.configuration_version},
          {"directory_revision", store.directory_revision},
          {"directory_digest", store.directory_digest}};
}

StoreKnowledge ParseStoreKnowledge(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "store knowledge");
  return {reader.Unsigned("configuration_version"), reader.Unsigned("directory_revision"),
          reader.String("directory_digest")};
}

}  // namespace

nlohmann::json ToJson(const Beat& beat) {
  nlohmann::json document = {{"vm", beat.vm},
                             {"incarnation", beat.incarnation},
                             {"address", beat.address},
                             {"relay_address", beat.relay_address},
                             {"data_centre", beat.data_centre},
                             {"version", beat.version},
                             {"busy", beat.busy},
                             {"suspects", beat.suspects},
                             {"reaches", beat.reaches},
                             {"released", beat.released},
                             {"fleet_digest", beat.fleet_digest},
                             {"leaving", beat.leaving},
                             {"store", ToJson(beat.store)}};
  if (beat.record) {
    document["record"] = ToJson(*beat.record);
  }
  return document;
}

Beat ParseBeat(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "beat");
  Beat beat;
  beat.vm = reader.String("vm");
  beat.incarnation = reader.Unsigned("incarnation");
  beat.address = reader.String("address");
  beat.relay_address = reader.String("relay_address");
  beat.data_centre = reader.String("data_centre");
  beat.version = reader.Unsigned("version");
  beat.busy = reader.Strings("busy");
  beat.suspects = reader.Strings("suspects");
  beat.reaches = reader.Strings("reaches");
  const json::ObjectReader released(reader.Object("released"), "beat's released groups");
  for (const auto& member : reader.Object("released").items()) {
    beat.released.emplace(member.key(), released.Unsigned(member.key().c_str()));
  }
  beat.fleet_digest = reader.String("fleet_digest");
  beat.leaving = reader.Bool("leaving");
  beat.store = ParseStoreKnowledge(reader.Object("store"));
  beat.record = ParseOptionalRecord(reader);
  return beat;
}

nlohmann::json ToJson(const BeatReply& reply) {
  nlohmann::json document = {{"vm", reply.vm},
                             {"incarnation", reply.incarnation},
                             {"promised", reply.promised},
                             {"version", reply.version},
                             {"store_silence_ms", Milliseconds(reply.store_silence)},
                             {"wants_relief", reply.wants_relief},
                             {"fleet_size", reply.fleet_size},
                             {"store", ToJson(reply.store)},
                             {"positions", nlohmann::json::array()}};
  for (const KnownPosition& known : reply.knowledge.positions) {
    // Ages are rounded up: a position must never seem fresher than it is.
    document["positions"].push_back({{"group", known.group},
                                     {"term", known.position.term},
                                     {"offset", known.position.offset},
                                     {"age_ms", Milliseconds(known.age) + 1}});
  }
  if (!reply.knowledge.fleet.empty()) {
    for (const gateways::FleetVm& known : reply.knowledge.fleet) {
      document["fleet"].push_back(
          {{"vm", known.vm}, {"relay_address", known.relay_address}, {"data_centre", known.data_centre}});
    }
  }
  if (reply.record) {
    document["record"] = ToJson(*reply.record);
  }
  return document;
}

BeatReply ParseBeatReply(const nlohmann::json& document) {
  const json::ObjectReader reader(document, "beat reply");
  BeatReply reply;
  reply.vm = reader.String("vm");
  reply.incarnation = reader.Unsigned("incarnation");
  reply.promised = reader.Bool("promised");
  reply.version = reader.Unsigned("version");
  reply.store_silence = reader.Milliseconds("store_silence_ms");
  reply.wants_relief = reader.Bool("wants_relief");
  reply.fleet_size = reader.Unsigned("fleet_size");
  reply.store = ParseStoreKnowledge(reader.Object("store"));
  for (const nlohmann::json& known : reader.Array("positions")) {
    reply.knowledge.positions.push_back(ParseKnownPosition(known));
  }
  if (reader.Has("fleet")) {
    for (const nlohmann::json& known : reader.Array("fleet")) {
      const json::ObjectReader vm(known, "fleet");
      reply.knowledge.fleet.push_back({vm.String("vm"), vm.String("relay_address"), vm.String("data_centre")});
    }
  }
  reply.record = ParseOptionalRecord(reader);
  return reply;
}

}  // namespace amaranthlane::coordination
