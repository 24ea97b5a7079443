#include "stand_ins/fault_proxy/fault.h"

#include <algorithm>
#include <array>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::stand_ins {

namespace {

struct NamedMode {
  std::string_view name;
  FaultMode mode;
};

constexpr std::array<NamedMode, 7> kModes = {{{"pass", FaultMode::kPass},
                                              {"cut", FaultMode::kCut},
                                              {"freeze", FaultMode::kFreeze},
                                              {"drop_to_target", FaultMode::kDropToTarget},
                                              {"drop_to_client", FaultMode::kDropToClient},
                                              {"silent_open", FaultMode::kSilentOpen},
                                              {"truncate_answer", FaultMode::kTruncateAnswer}}};

FaultMode ParseMode(const std::string& name) {
  const auto* const found =
      std::find_if(kModes.begin(), kModes.end(), [&](const NamedMode& mode) { return mode.name == name; });
  if (found == kModes.end()) {
    throw ParseError("fault", "mode",
                     "pass, cut, freeze, drop_to_target, drop_to_client, silent_open or truncate_answer");
  }
  return found->mode;
}

}  // namespace

UnknownRouteError::UnknownRouteError(const std::string& name)
    : ProblemError({404, "unknown-route", "The proxy has no such route", name, ""}) {}

std::string_view ModeName(FaultMode mode) {
  const auto* const found =
      std::find_if(kModes.begin(), kModes.end(), [&](const NamedMode& named) { return named.mode == mode; });
  return found->name;
}

const Fault& RouteFaults::FaultFor(const std::string& client_ip) const {
  const auto entry = this->by_client_ip.find(client_ip);
  return entry == this->by_client_ip.end() ? this->default_fault : entry->second;
}

FaultRequest ParseFault(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "fault");
  const Fault fault{ParseMode(reader.StringOr("mode", "pass")),
                    reader.MillisecondsOr("delay_ms", std::chrono::milliseconds(0)), reader.UnsignedOr("bytes", 0)};
  return {fault, reader.StringOr("from", "")};
}

ResponsesToDrop ParseResponsesToDrop(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "lose_answer");
  return {reader.Unsigned("count"), reader.StringOr("match", "")};
}

}  // namespace amaranthlane::stand_ins
