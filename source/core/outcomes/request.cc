#include "core/outcomes/request.h"

#include <array>

#include "common/error.h"

namespace amaranthlane::outcomes {

std::string_view StatementModeName(StatementMode mode) { return mode == StatementMode::kRead ? "read" : "write"; }

StatementMode ParseStatementMode(std::string_view name) {
  for (const StatementMode mode : {StatementMode::kRead, StatementMode::kWrite}) {
    if (name == StatementModeName(mode)) {
      return mode;
    }
  }
  throw ParseError("statement", "mode", "read or write");
}

std::string_view EndReasonName(EndReason reason) {
  constexpr std::array<std::string_view, 11> kNames = {
      "answered", "deadline_passed", "connection_lost",     "term_moved",   "leadership_lost",  "caller_gone",
      "shutdown", "overload",        "refused_by_endpoint", "key_conflict", "invalid_statement"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace amaranthlane::outcomes
