#ifndef AMARANTHLANE_CORE_CONFIGURATION_CALLER_DIRECTORY_H_
#define AMARANTHLANE_CORE_CONFIGURATION_CALLER_DIRECTORY_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/sha256.h"
#include "core/configuration/invalid_object.h"
#include "core/configuration/object_store.h"

namespace amaranthlane::configuration {

// The callers of the current configuration, indexed by the hashes of their bearer keys. The keys are stored nowhere.
class CallerDirectory {
 public:
  // Reloads the callers from the store if they changed. Returns whether they did.
  bool Refresh(const ObjectStore& store);

  // Returns the name of the caller with this bearer key, or null. The pointer is valid until the next Refresh().
  const std::string* Authenticate(std::string_view bearer_key) const;

  // The objects that could not be parsed and have no effect.
  const std::vector<InvalidObject>& InvalidObjects() const;

 private:
  struct DigestHash {
    std::size_t operator()(const Sha256Digest& digest) const;
  };

  std::uint64_t revision = 0;
  std::unordered_map<Sha256Digest, std::string, DigestHash> callers;
  std::vector<InvalidObject> invalid_objects;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_CALLER_DIRECTORY_H_
