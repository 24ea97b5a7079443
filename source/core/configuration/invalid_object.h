#ifndef AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_
#define AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_

#include <string>

namespace amaranthlane::configuration {

// An object from the platform whose value its parse function rejected. It has no effect.
struct InvalidObject {
  std::string kind;
  std::string name;
  // The invalid member and what was expected there, as in ParseError.
  std::string key;
  std::string expected;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_
