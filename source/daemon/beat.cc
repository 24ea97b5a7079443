#include "daemon/beat.h"

#include <utility>

#include "common/json.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kDocument[] = "beat";

}  // namespace

std::string BeatText(const Beat& beat) {
  Json leads = Json::array();
  for (const LedGroup& led : beat.leads) {
    leads.push_back(Json{{"group", led.group}, {"epoch", led.ballot.epoch}, {"rank", led.ballot.rank}});
  }
  Json message{{"membership", membership::ToJson(beat.heartbeat)},
               {"summary", configuration::ToJson(beat.summary)},
               {"leads", std::move(leads)}};
  if (beat.configuration) {
    message["configuration"] = configuration::ToJson(*beat.configuration);
  }
  return message.dump();
}

Beat ParseBeat(std::string_view text) {
  const Json message = json::Parse(text, kDocument);
  const json::ObjectReader reader(message, kDocument);
  Beat beat;
  beat.heartbeat = membership::ParseHeartbeat(reader.Object("membership"));
  beat.summary = configuration::ParseDigestSummary(reader.Object("summary"));
  if (reader.Has("configuration")) {
    beat.configuration = configuration::ParseConfigurationDigest(reader.Object("configuration"));
  }
  for (const Json& element : reader.Array("leads")) {
    const json::ObjectReader led(element, kDocument);
    beat.leads.push_back(
        LedGroup{led.String("group"), {led.Unsigned("epoch"), static_cast<std::uint32_t>(led.Unsigned("rank"))}});
  }
  return beat;
}

}  // namespace amaranthlane::daemon
