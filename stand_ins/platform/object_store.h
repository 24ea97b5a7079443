#ifndef AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace amaranthlane::stand_ins {

struct ObjectKey {
  std::string kind;
  std::string name;

  bool operator==(const ObjectKey&) const = default;
  bool operator<(const ObjectKey& other) const;
};

// An object of the platform, or the tombstone of a deleted one.
struct PlatformObject {
  ObjectKey key;
  std::uint64_t version = 0;
  bool deleted = false;
  nlohmann::json value;

  nlohmann::json ToJson() const;
};

// All objects of the platform. One version counter orders the changes of all objects.
class ObjectStore {
 public:
  // Throws NotFoundError.
  const PlatformObject& Get(const ObjectKey& key) const;
  // The objects whose last change has a version greater than `after`, in the order of these changes, including
  // tombstones. Only objects of the given kinds; empty: all kinds.
  std::vector<const PlatformObject*> ChangedAfter(std::uint64_t after, const std::vector<std::string>& kinds) const;
  // Stores a value and returns its version. Throws ConflictError when `expected_version` is set and differs from the
  // object's version; an expected version of 0 also matches a tombstone. Throws ValueTooLargeError.
  std::uint64_t Put(const ObjectKey& key, std::optional<std::uint64_t> expected_version, nlohmann::json value);
  // Replaces the object by a tombstone and returns the tombstone's version. Throws NotFoundError or ConflictError.
  std::uint64_t Delete(const ObjectKey& key, std::optional<std::uint64_t> expected_version);
  std::uint64_t LatestVersion() const;

 private:
  std::uint64_t ApplyChange(const ObjectKey& key, bool deleted, nlohmann::json value);

  std::map<ObjectKey, PlatformObject> objects;
  // The key of each object by the version of the object's last change.
  std::map<std::uint64_t, ObjectKey> key_by_version;
  std::uint64_t version = 0;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_OBJECT_STORE_H_
