#include "stand_ins/platform/seed.h"

#include <fstream>
#include <sstream>

#include "common/json.h"
#include "stand_ins/common/errors.h"

namespace amaranthlane::stand_ins {

namespace {

std::vector<SeedObject> ParseObjects(const nlohmann::json& list) {
  std::vector<SeedObject> objects;
  for (const nlohmann::json& element : list) {
    const json::ObjectReader reader(element, "seed object");
    objects.push_back({{reader.String("kind"), reader.String("name")}, reader.Object("value")});
  }
  return objects;
}

}  // namespace

Seed ParseSeed(const nlohmann::json& document) {
  Seed seed;
  if (document.is_array()) {
    seed.objects = ParseObjects(document);
    return seed;
  }
  const json::ObjectReader reader(document, "seed");
  if (reader.Has("objects")) {
    seed.objects = ParseObjects(reader.Array("objects"));
  }
  if (reader.Has("vms")) {
    for (const nlohmann::json& vm : reader.Array("vms")) {
      seed.vms.push_back(ParseVm(vm));
    }
  }
  return seed;
}

Seed LoadSeed(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    throw FileError(path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSeed(json::Parse(text.str(), "seed"));
}

}  // namespace amaranthlane::stand_ins
