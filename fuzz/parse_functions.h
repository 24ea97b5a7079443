#ifndef AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_
#define AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_

#include <string>
#include <string_view>
#include <vector>

// The table of all parse functions that the fuzz tests feed. A subsystem adds a function that returns its own entries
// and a line in `AllParseFunctions`.
namespace amaranthlane::fuzz {

struct ParseFunction {
  std::string name;
  // Parses the text. It may throw only what derives from amaranthlane::Error, and throws std::logic_error when a
  // message that was accepted doesn't survive being written and read again.
  void (*parse)(std::string_view text);
  // Valid inputs, the seeds of the mutations.
  std::vector<std::string> samples;
};

std::vector<ParseFunction> AllParseFunctions();

std::vector<ParseFunction> CommonParseFunctions();
std::vector<ParseFunction> ConfigurationParseFunctions();
std::vector<ParseFunction> CoreParseFunctions();
// Those of the processes, absent from a build of the core alone.
std::vector<ParseFunction> ProcessParseFunctions();

}  // namespace amaranthlane::fuzz

#endif  // AMARANTHLANE_FUZZ_PARSE_FUNCTIONS_H_
