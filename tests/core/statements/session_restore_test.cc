#include "core/statements/session_restore.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace amaranthlane::statements {
namespace {

TEST(SessionRestore, PlansNothingForAMatchingConnection) {
  ConnectionSessionState session_state;
  session_state.values = {{"a", "1"}};
  session_state.prepared = {EndpointStatementName({false, "q"})};
  const PreparedStatement needed{false, "q"};
  EXPECT_TRUE(PlanRestore(session_state, {{"a", "1"}}, &needed).empty());
}

TEST(SessionRestore, ResetsAConnectionThatHoldsASurplusValue) {
  ConnectionSessionState session_state;
  session_state.values = {{"a", "1"}, {"b", "2"}};
  const std::vector<RestoreStep> steps = PlanRestore(session_state, {{"a", "1"}}, nullptr);
  ASSERT_EQ(steps.size(), 2U);
  EXPECT_EQ(steps.front().kind, RestoreStep::Kind::kReset);
}

TEST(SessionRestore, EndpointNamesDifferByTextAndMode) {
  EXPECT_NE(EndpointStatementName({false, "q"}), EndpointStatementName({true, "q"}));
  EXPECT_NE(EndpointStatementName({false, "a b"}), EndpointStatementName({false, "ab"}));
  EXPECT_EQ(EndpointStatementName({false, "a b"}).find(' '), std::string::npos);
}

// Guards against a prepared statement that fits into the caller's message, and whose name doesn't fit into the
// endpoint's.
TEST(SessionRestore, EndpointNamesAreShort) {
  constexpr std::size_t kMaxNameBytes = 255;
  const std::string text(500'000, '%');
  EXPECT_LE(EndpointStatementName({false, text}).size(), kMaxNameBytes);
  EXPECT_NE(EndpointStatementName({false, text}), EndpointStatementName({false, text + "%"}));
  EXPECT_NE(EndpointStatementName({false, text}), EndpointStatementName({true, text}));
  // A short statement can't have the name of a long one.
  const std::string name = EndpointStatementName({false, text});
  for (std::size_t prefix = 0; prefix < 4; ++prefix) {
    EXPECT_NE(EndpointStatementName({false, name.substr(prefix)}), name);
  }
}

// After the planned steps a connection holds exactly the session's values, whatever it held before.
TEST(SessionRestore, ThePlanYieldsTheSessionsValues) {
  const bool passed = rc::check("the plan yields the session's values", [] {
    // Each name is unset or has one of two values.
    const auto draw_values = [] {
      SessionValues values;
      for (const char* name : {"a", "b", "c"}) {
        const int choice = *rc::gen::inRange(0, 3);
        if (choice > 0) {
          values[name] = std::to_string(choice);
        }
      }
      return values;
    };
    ConnectionSessionState session_state;
    session_state.values = draw_values();
    const SessionValues session_values = draw_values();
    for (const RestoreStep& step : PlanRestore(session_state, session_values, nullptr)) {
      ApplyRestoreStep(step, session_state);
    }
    RC_ASSERT(session_state.values == session_values);
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::statements
