#include "parse_functions.h"

#include <utility>

namespace amaranthlane::fuzz {

std::vector<ParseFunction> AllParseFunctions() {
  std::vector<std::vector<ParseFunction>> function_lists = {CommonParseFunctions(), ConfigurationParseFunctions(),
                                                            CoreParseFunctions()};
#ifndef AMARANTHLANE_CORE_ONLY
  function_lists.push_back(ProcessParseFunctions());
#endif
  std::vector<ParseFunction> all;
  for (const std::vector<ParseFunction>& functions : function_lists) {
    all.insert(all.end(), functions.begin(), functions.end());
  }
  return all;
}

}  // namespace amaranthlane::fuzz
