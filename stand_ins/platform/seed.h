#ifndef AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_

#include <string>
#include <vector>

#include "stand_ins/platform/object_store.h"
#include "stand_ins/platform/vm_list.h"

namespace amaranthlane::stand_ins {

// An object that exists when the platform starts.
struct SeedObject {
  ObjectKey key;
  nlohmann::json value;
};

// The initial contents of the platform.
struct Seed {
  std::vector<SeedObject> objects;
  std::vector<Vm> vms;
};

// Parses `{"objects":[{"kind","name","value"}],"vms":[vm]}`, where both members are optional, or an array of objects.
// Throws ParseError.
Seed ParseSeed(const nlohmann::json& document);

// Reads a seed from a JSON file. Throws FileError or ParseError.
Seed LoadSeed(const std::string& path);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_SEED_H_
