#include "core/statements/statement.h"

#include <array>

namespace amaranthlane::statements {

std::string_view FailureCodeName(FailureCode code) {
  static constexpr std::array<std::string_view, 14> kNames = {
      "not run",   "aborted", "lagging",           "read only",        "wrong endpoint", "connection limit", "failed",
      "timed out", "unknown", "unknown statement", "unknown database", "malformed",      "too large",        "denied"};
  return kNames.at(static_cast<std::size_t>(code));
}

bool DidNotRun(FailureCode code) {
  switch (code) {
    case FailureCode::kNotRun:
    case FailureCode::kLagging:
    case FailureCode::kReadOnly:
    case FailureCode::kWrongEndpoint:
    case FailureCode::kConnectionLimit:
    case FailureCode::kUnknownStatement:
      return true;
    default:
      return false;
  }
}

}  // namespace amaranthlane::statements
