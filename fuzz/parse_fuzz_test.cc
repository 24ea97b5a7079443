#include <gtest/gtest.h>

#include <string>

#include "common/error.h"
#include "mutator.h"
#include "parse_functions.h"

namespace amaranthlane::fuzz {
namespace {

constexpr int kInputsPerFunction = 100 * 1000;
constexpr std::uint64_t kSeed = 20261204;

class ParseFuzzTest : public testing::TestWithParam<ParseFunction> {};

TEST_P(ParseFuzzTest, AcceptsItsSamples) {
  for (const std::string& sample : GetParam().samples) {
    EXPECT_NO_THROW(GetParam().parse(sample)) << sample;
  }
}

TEST_P(ParseFuzzTest, ReturnsAValueOrThrowsATypedErrorForEveryInput) {
  Mutator mutator(GetParam().samples, kSeed);
  int accepted = 0;
  for (int i = 0; i < kInputsPerFunction; ++i) {
    const std::string input = mutator.Next();
    try {
      GetParam().parse(input);
      ++accepted;
    } catch (const Error&) {
      continue;
    } catch (const std::exception& error) {
      FAIL() << "input " << i << " threw an untyped exception: " << error.what() << "\n" << input;
    }
  }
  RecordProperty("accepted", accepted);
}

INSTANTIATE_TEST_SUITE_P(All, ParseFuzzTest, testing::ValuesIn(AllParseFunctions()),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace amaranthlane::fuzz
