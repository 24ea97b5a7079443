#include "parse_functions.h"

#include <utility>

namespace amaranthlane::fuzz {

std::vector<ParseFunction> AllParseFunctions() {
  std::vector<ParseFunction> all;
  for (const auto& functions : {CommonParseFunctions(), ConfigurationParseFunctions()}) {
    all.insert(all.end(), functions.begin(), functions.end());
  }
  return all;
}

}  // namespace amaranthlane::fuzz
