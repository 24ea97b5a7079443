#include "core/statements/session_replay.h"

#include <algorithm>
#include <cctype>

namespace amaranthlane::statements {

std::string EndpointStatementName(const PreparedStatement& prepared) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string name = prepared.writes ? "w_" : "r_";
  for (const char character : prepared.shape) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0) {
      name += character;
    } else {
      name += {'_', kDigits[byte >> 4U], kDigits[byte & 0xFU]};
    }
  }
  return name;
}

std::vector<ReplayStep> PlanReplay(const ConnectionContents& contents, const SessionValues& values,
                                   const PreparedStatement* prepared) {
  std::vector<ReplayStep> steps;
  const bool surplus = std::any_of(contents.values.begin(), contents.values.end(),
                                   [&values](const auto& held) { return values.count(held.first) == 0; });
  if (surplus) {
    steps.push_back({ReplayStep::Kind::kReset, {}, {}, {}});
  }
  for (const auto& [name, value] : values) {
    const auto held = contents.values.find(name);
    if (surplus || held == contents.values.end() || held->second != value) {
      steps.push_back({ReplayStep::Kind::kSetValue, name, value, {}});
    }
  }
  if (prepared != nullptr) {
    const std::string name = EndpointStatementName(*prepared);
    if (surplus || contents.prepared.count(name) == 0) {
      steps.push_back({ReplayStep::Kind::kPrepare, name, {}, *prepared});
    }
  }
  return steps;
}

void ApplyReplay(const ReplayStep& step, ConnectionContents& contents) {
  switch (step.kind) {
    case ReplayStep::Kind::kReset:
      contents = {};
      return;
    case ReplayStep::Kind::kSetValue:
      contents.values[step.name] = step.value;
      return;
    case ReplayStep::Kind::kPrepare:
      contents.prepared.insert(step.name);
      return;
  }
}

}  // namespace amaranthlane::statements
