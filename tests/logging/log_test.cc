#include "logging/log.h"

#include <gtest/gtest.h>
#include <limits.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>
#include <string>

namespace amaranthlane::logging {
namespace {

// Writes one line with two fields and returns what reached the standard output.
std::string LineOf(const std::string& first, const std::string& second) {
  ::testing::internal::CaptureStdout();
  Write(Level::kError, "statement failed", {{"id", first}, {"why", second}, {"attempts", 1}});
  return ::testing::internal::GetCapturedStdout();
}

class LogTest : public ::testing::Test {
 protected:
  LogTest() { Initialize("vm-1", "info"); }
};

// A longer line isn't written to a pipe as a whole, so that another one may stand inside it.
TEST_F(LogTest, ALongValueIsCut) {
  for (const std::string& value : {std::string(1U << 20U, 'x'), std::string(1U << 20U, '\0'),
                                   std::string(1U << 20U, '"'), std::string(1U << 20U, '\xff')}) {
    const std::string line = LineOf(value, value);
    EXPECT_LE(line.size(), static_cast<std::size_t>(PIPE_BUF));
    const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
    ASSERT_FALSE(parsed.is_discarded()) << line;
    EXPECT_NE(parsed["id"].get<std::string>().find("1048576 bytes"), std::string::npos);
    EXPECT_EQ(parsed["attempts"], 1);
  }
}

TEST_F(LogTest, AShortValueIsKept) {
  const nlohmann::json parsed = nlohmann::json::parse(LineOf("a \"b\" \xd1\x8f", std::string(255, 'y')));
  EXPECT_EQ(parsed["id"], "a \"b\" \xd1\x8f");
  EXPECT_EQ(parsed["why"], std::string(255, 'y'));
}

// No value ends its line, starts a field or stands for one of the logging library's specifiers.
TEST_F(LogTest, AnyValueStaysInItsField) {
  const bool passed = rc::check("any value stays in its field", [] {
    const auto text = rc::gen::container<std::string>(
        rc::gen::oneOf(rc::gen::arbitrary<char>(), rc::gen::element('%', '\n', '\r', '"', '\\', '\0', '\x1b')));
    const std::string first = *text;
    const std::string second = *rc::gen::element<std::string>("%datetime", "%msg", "%level%msg", "%%", *text);
    const std::string line = LineOf(first, second);
    RC_ASSERT(line.find('\n') == line.size() - 1);
    const nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
    RC_ASSERT(parsed.is_object());
    RC_ASSERT(parsed.size() == 7U);
    RC_ASSERT(parsed["event"] == "statement failed");
    if (second.front() == '%' && second.size() > 1 && nlohmann::json::accept("\"" + second + "\"")) {
      RC_ASSERT(parsed["why"] == second);
    }
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::logging
