#include "core/membership/heartbeat.h"

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::membership {

namespace {

constexpr const char* kDocument = "heartbeat";
constexpr const char* kWorkingName = "working";
constexpr const char* kLeavingName = "leaving";
constexpr const char* kDeadName = "dead";

VmState ParseState(const std::string& name) {
  if (name == kWorkingName) {
    return VmState::kWorking;
  }
  if (name == kLeavingName) {
    return VmState::kLeaving;
  }
  if (name == kDeadName) {
    return VmState::kDead;
  }
  throw ParseError(kDocument, "state", "\"working\", \"leaving\" or \"dead\"");
}

DigestEntry ParseEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  DigestEntry entry;
  entry.vm = reader.String("vm");
  entry.incarnation = reader.Unsigned("incarnation");
  entry.counter = reader.Unsigned("counter");
  entry.state = ParseState(reader.StringOr("state", kWorkingName));
  // The location and address come together or not at all.
  if (reader.Has("data_centre") || reader.Has("region") || reader.Has("address")) {
    entry.data_centre = reader.String("data_centre");
    entry.region = reader.String("region");
    entry.address = reader.Address("address");
  }
  return entry;
}

nlohmann::json ToJson(const DigestEntry& entry) {
  nlohmann::json value = {{"vm", entry.vm}, {"incarnation", entry.incarnation}, {"counter", entry.counter}};
  if (entry.state != VmState::kWorking) {
    value["state"] = entry.state == VmState::kLeaving ? kLeavingName : kDeadName;
  }
  if (!entry.address.empty()) {
    value["data_centre"] = entry.data_centre;
    value["region"] = entry.region;
    value["address"] = entry.address;
  }
  return value;
}

}  // namespace

Heartbeat ParseHeartbeat(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  Heartbeat heartbeat;
  heartbeat.sender = ParseEntry(reader.Object("sender"));

  for (const nlohmann::json& entry : reader.Array("digest")) {
    heartbeat.digest.push_back(ParseEntry(entry));
  }
  return heartbeat;
}

nlohmann::json ToJson(const Heartbeat& heartbeat) {
  nlohmann::json digest = nlohmann::json::array();
  for (const DigestEntry& entry : heartbeat.digest) {
    digest.push_back(ToJson(entry));
  }
  return {{"sender", ToJson(heartbeat.sender)}, {"digest", digest}};
}

}  // namespace amaranthlane::membership
