#ifndef AMARANTHLANE_CORE_CONFIGURATION_CALLER_H_
#define AMARANTHLANE_CORE_CONFIGURATION_CALLER_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "common/sha256.h"

namespace amaranthlane::configuration {

// A `callers` object. Its name is the caller's name.
struct Caller {
  // The SHA-256 hashes of the valid bearer keys; two while a key is being replaced.
  std::vector<Sha256Digest> key_hashes;
};

// Throws ParseError.
Caller ParseCaller(const nlohmann::json& value);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_CALLER_H_
