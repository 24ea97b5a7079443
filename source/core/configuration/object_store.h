#ifndef AMARANTHLANE_CORE_CONFIGURATION_OBJECT_STORE_H_
#define AMARANTHLANE_CORE_CONFIGURATION_OBJECT_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/configuration/differences.h"
#include "core/configuration/digest.h"
#include "core/configuration/platform_object.h"
#include "core/types.h"

namespace amaranthlane::configuration {

// Holds all platform objects that this VM knows. An object is replaced only by a newer version, and a deletion leaves a
// tombstone with its version, so that no order of arrival reverts a change.
class ObjectStore {
 public:
  // Stores the object if its version is above the one held. Returns whether it was stored.
  bool Apply(PlatformObject object);

  // Applies the platform's full list of one kind at `version`. An object held at or below `version` that the list lacks
  // was deleted, and the platform has dropped its tombstone; it becomes a tombstone with `version`. Returns whether
  // anything changed.
  bool ApplyList(const std::string& kind, ObjectVersion version, std::vector<PlatformObject> objects);

  // Records that every change up to `version` was applied. A version below the recorded one is ignored.
  void AdvanceCompleteThrough(ObjectVersion version);

  // The version up to which the store has every change of the distributed kinds.
  ObjectVersion CompleteThrough() const;

  // Returns the live object, or null when there is none. The pointer is valid until the next change.
  const PlatformObject* Find(std::string_view kind, std::string_view name) const;

  // Returns the object or its tombstone, or null when neither is known.
  const PlatformObject* FindWithTombstone(std::string_view kind, std::string_view name) const;

  // Calls `visit` for each live object of the kind, sorted by name.
  void ForEach(std::string_view kind, const std::function<void(const PlatformObject&)>& visit) const;

  // A number that increases with each change of an object of this kind; 0 for a kind without objects.
  std::uint64_t Revision(std::string_view kind) const;

  // The highest version of any object held.
  ObjectVersion HighestVersion() const;

  ConfigurationDigest Digest() const;

  // Returns the kind's bucket hashes, for the request to a peer whose digest of this kind differs.
  KindBuckets Buckets(const std::string& kind) const;

  // Returns the reply to a peer's request. It ends before the first object that exceeds `limit_bytes` in total, but
  // objects of one version are sent together, and those of the first version are always included.
  DifferencesReply Differences(const DifferencesRequest& request, std::size_t limit_bytes) const;

 private:
  struct KindTable {
    std::map<std::string, PlatformObject, std::less<>> objects;
    std::array<std::uint64_t, kBucketCount> buckets{};
    ObjectVersion highest_version = 0;
    std::uint64_t revision = 0;
  };

  const KindTable* Table(std::string_view kind) const;
  std::vector<const PlatformObject*> Candidates(const DifferencesRequest& request) const;

  std::map<std::string, KindTable, std::less<>> kinds;
  ObjectVersion complete_through = 0;
  ObjectVersion highest_version = 0;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_OBJECT_STORE_H_
