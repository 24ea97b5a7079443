#include "core/statements/session_restore.h"

#include <algorithm>
#include <cctype>

#include "common/sha256.h"

namespace amaranthlane::statements {

namespace {

// The longest text, in bytes, that stands in the name itself. Each byte takes three at most.
constexpr std::size_t kMaxTextInName = 64;

void AppendHex(std::uint8_t byte, std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  text += {kDigits[byte >> 4U], kDigits[byte & 0xFU]};
}

}  // namespace

std::string EndpointStatementName(const PreparedStatement& prepared) {
  std::string name = prepared.writes ? "w" : "r";
  if (prepared.statement_text.size() > kMaxTextInName) {
    // No name that holds its text begins so.
    name += "h_";
    for (const std::uint8_t byte : Sha256(prepared.statement_text)) {
      AppendHex(byte, name);
    }
    return name;
  }
  name += '_';
  for (const char character : prepared.statement_text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0) {
      name += character;
    } else {
      name += '_';
      AppendHex(byte, name);
    }
  }
  return name;
}

std::vector<RestoreStep> PlanRestore(const ConnectionSessionState& session_state, const SessionValues& values,
                                     const PreparedStatement* prepared) {
  std::vector<RestoreStep> steps;
  const bool has_extra_value =
      std::any_of(session_state.values.begin(), session_state.values.end(),
                  [&values](const auto& existing) { return values.count(existing.first) == 0; });
  if (has_extra_value) {
    steps.push_back({RestoreStep::Kind::kReset, {}, {}, {}});
  }
  for (const auto& [name, value] : values) {
    const auto existing = session_state.values.find(name);
    if (has_extra_value || existing == session_state.values.end() || existing->second != value) {
      steps.push_back({RestoreStep::Kind::kSetValue, name, value, {}});
    }
  }
  if (prepared != nullptr) {
    const std::string name = EndpointStatementName(*prepared);
    if (has_extra_value || session_state.prepared.count(name) == 0) {
      steps.push_back({RestoreStep::Kind::kPrepare, name, {}, *prepared});
    }
  }
  return steps;
}

void ApplyRestoreStep(const RestoreStep& step, ConnectionSessionState& session_state) {
  switch (step.kind) {
    case RestoreStep::Kind::kReset:
      session_state = {};
      return;
    case RestoreStep::Kind::kSetValue:
      session_state.values[step.name] = step.value;
      return;
    case RestoreStep::Kind::kPrepare:
      session_state.prepared.insert(step.name);
      return;
  }
}

}  // namespace amaranthlane::statements
