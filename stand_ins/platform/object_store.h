#ifndef AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace amaranthlane::stand_ins {

// What names an object.
struct ObjectKey {
  std::string kind;
  std::string name;

  bool operator==(const ObjectKey&) const = default;
  bool operator<(const ObjectKey& other) const;
};

// One object of the platform, or its tombstone.
struct PlatformObject {
  ObjectKey key;
  std::uint64_t version = 0;
  bool deleted = false;
  nlohmann::json value;

  nlohmann::json ToJson() const;
};

// All objects with the one counter that orders their changes.
class ObjectStore {
 public:
  // Throws NotFoundError.
  const PlatformObject& Get(const ObjectKey& key) const;
  // The objects of the given kinds, of every kind when none is given, whose last change came after `after`, in the
  // order of these changes. Tombstones are included.
  std::vector<const PlatformObject*> ChangedAfter(std::uint64_t after, const std::vector<std::string>& kinds) const;
  // Stores a value and returns its version. Throws ConflictError unless the object's version is the expected one; an
  // expected 0 also accepts a tombstone. Throws ValueTooLargeError.
  std::uint64_t Put(const ObjectKey& key, std::optional<std::uint64_t> expected_version, nlohmann::json value);
  // Leaves a tombstone and returns its version. Throws NotFoundError or ConflictError.
  std::uint64_t Delete(const ObjectKey& key, std::optional<std::uint64_t> expected_version);
  // The version of the newest change.
  std::uint64_t LatestVersion() const;

 private:
  std::uint64_t ApplyChange(const ObjectKey& key, bool deleted, nlohmann::json value);

  std::map<ObjectKey, PlatformObject> objects;
  // The keys by the version of their last change.
  std::map<std::uint64_t, ObjectKey> key_by_version;
  std::uint64_t version = 0;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_
