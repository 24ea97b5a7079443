#include "common/error.h"

#include <utility>

namespace amaranthlane {

ParseError::ParseError(std::string document, std::string key, std::string expected)
    : Error(document + ": '" + key + "': expected " + expected),
      document(std::move(document)),
      key(std::move(key)),
      expected(std::move(expected)) {}

}  // namespace amaranthlane
