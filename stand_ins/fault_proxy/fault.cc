#include "stand_ins/fault_proxy/fault.h"

#include <algorithm>
#include <array>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::stand_ins {

namespace {

struct NamedMode {
  std::string_view name;
  Mode mode;
};

constexpr std::array<NamedMode, 7> kModes = {{{"pass", Mode::kPass},
                                              {"cut", Mode::kCut},
                                              {"freeze", Mode::kFreeze},
                                              {"drop_to_target", Mode::kDropToTarget},
                                              {"drop_to_client", Mode::kDropToClient},
                                              {"silent_open", Mode::kSilentOpen},
                                              {"truncate_answer", Mode::kTruncateAnswer}}};

Mode ParseMode(const std::string& name) {
  const auto* const found =
      std::find_if(kModes.begin(), kModes.end(), [&](const NamedMode& mode) { return mode.name == name; });
  if (found == kModes.end()) {
    throw ParseError("fault", "mode", "the name of a mode");
  }
  return found->mode;
}

}  // namespace

UnknownRouteError::UnknownRouteError(const std::string& name)
    : ProblemError({404, "unknown-route", "The proxy has no such route", name, ""}) {}

std::string_view ModeName(Mode mode) {
  const auto* const found =
      std::find_if(kModes.begin(), kModes.end(), [&](const NamedMode& named) { return named.mode == mode; });
  return found->name;
}

const Fault& RouteFaults::For(const std::string& source) const {
  const auto limited = this->by_source.find(source);
  return limited == this->by_source.end() ? this->common : limited->second;
}

FaultRequest ParseFault(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "fault");
  const Fault fault{ParseMode(reader.StringOr("mode", "pass")),
                    reader.MillisecondsOr("delay_ms", std::chrono::milliseconds(0)), reader.UnsignedOr("bytes", 0)};
  return {fault, reader.StringOr("from", "")};
}

LostAnswers ParseLostAnswers(const nlohmann::json& value) {
  const json::ObjectReader reader(value, "lose_answer");
  return {reader.Unsigned("count"), reader.StringOr("match", "")};
}

}  // namespace amaranthlane::stand_ins
