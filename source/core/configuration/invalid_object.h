#ifndef AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_
#define AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_

#include <string>

namespace amaranthlane::configuration {

// An object that stands at the platform with a value that its parse function refuses. It has no effect.
struct InvalidObject {
  std::string kind;
  std::string name;
  // The offending member and what should stand there, as in ParseError.
  std::string key;
  std::string expected;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_INVALID_OBJECT_H_
