#ifndef AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_

#include <string>
#include <vector>

#include "stand_ins/platform/object_store.h"
#include "stand_ins/platform/vm_list.h"

namespace amaranthlane::stand_ins {

// An object that the platform holds from its start.
struct SeedObject {
  ObjectKey key;
  nlohmann::json value;
};

// What the platform holds from its start.
struct Seed {
  std::vector<SeedObject> objects;
  std::vector<Vm> vms;
};

// Reads `{"objects":[{"kind","name","value"}],"vms":[vm]}`, both members optional, or the list of objects alone. Throws
// ParseError.
Seed ParseSeed(const nlohmann::json& document);

// Reads a file with a seed. Throws FileError or ParseError.
Seed LoadSeed(const std::string& path);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_
