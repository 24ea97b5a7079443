#ifndef AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_
#define AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_

#include <string>
#include <string_view>
#include <vector>

// The parse functions that the fuzz tests call. A subsystem adds a function that returns its own entries and calls it
// in `AllParseFunctions`.
namespace amaranthlane::fuzz {

struct ParseFunction {
  std::string name;
  // Parses the text. Invalid input may throw only exceptions derived from amaranthlane::Error. A std::logic_error means
  // that an accepted message changed when serialized and parsed again.
  void (*parse)(std::string_view text);
  // Valid inputs that are mutated.
  std::vector<std::string> samples;
};

std::vector<ParseFunction> AllParseFunctions();

std::vector<ParseFunction> CommonParseFunctions();
std::vector<ParseFunction> ConfigurationParseFunctions();
std::vector<ParseFunction> CoreParseFunctions();
// Parse functions outside the core; absent when built with AMARANTHLANE_CORE_ONLY.
std::vector<ParseFunction> ProcessParseFunctions();

}  // namespace amaranthlane::fuzz

#endif  // AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_
