#include "daemon/heartbeat_message.h"

#include <utility>

#include "common/json.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kDocument[] = "beat";

}  // namespace

std::string FormatHeartbeatMessage(const HeartbeatMessage& message) {
  Json led_groups = Json::array();
  for (const LedGroup& entry : message.led_groups) {
    led_groups.push_back(Json{{"group", entry.group}, {"epoch", entry.ballot.epoch}, {"rank", entry.ballot.rank}});
  }
  Json body{{"membership", membership::ToJson(message.heartbeat)},
            {"summary", configuration::ToJson(message.summary)},
            {"leads", std::move(led_groups)}};
  if (message.configuration) {
    body["configuration"] = configuration::ToJson(*message.configuration);
  }
  return body.dump();
}

HeartbeatMessage ParseHeartbeatMessage(std::string_view text) {
  const Json body = json::Parse(text, kDocument);
  const json::ObjectReader reader(body, kDocument);
  HeartbeatMessage message;
  message.heartbeat = membership::ParseHeartbeat(reader.Object("membership"));
  message.summary = configuration::ParseDigestSummary(reader.Object("summary"));
  if (reader.Has("configuration")) {
    message.configuration = configuration::ParseConfigurationDigest(reader.Object("configuration"));
  }
  for (const Json& element : reader.Array("leads")) {
    const json::ObjectReader entry(element, kDocument);
    message.led_groups.push_back(
        LedGroup{entry.String("group"), {entry.Unsigned("epoch"), static_cast<std::uint32_t>(entry.Unsigned("rank"))}});
  }
  return message;
}

}  // namespace amaranthlane::daemon
