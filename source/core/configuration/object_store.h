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

// The table of all platform objects that this VM knows. An object is replaced only by a newer one and a deletion leaves
// a tombstone with its version, so that no order of arrival takes anything back.
class ObjectStore {
 public:
  // Takes the object if its version is above the one held. Returns whether it was taken.
  bool Apply(PlatformObject object);

  // Takes a full list of one kind as the platform gave it at `version`. An object held at or below that version which
  // the list lacks was deleted and its tombstone forgotten by the platform: it becomes a tombstone with `version`.
  // Returns whether anything changed.
  bool ApplyList(const std::string& kind, ObjectVersion version, std::vector<PlatformObject> objects);

  // Records that every change up to `version` was applied. A lower value than the one held is ignored.
  void AdvanceCompleteThrough(ObjectVersion version);

  // Every change up to this version of the kinds followed is held here.
  ObjectVersion CompleteThrough() const;

  // The live object, or null when there is none. The pointer lasts until the next change.
  const PlatformObject* Find(std::string_view kind, std::string_view name) const;

  // The object or its tombstone, or null when the name was never seen.
  const PlatformObject* FindWithTombstone(std::string_view kind, std::string_view name) const;

  // Calls `visit` for each live object of the kind, in the order of names.
  void ForEach(std::string_view kind, const std::function<void(const PlatformObject&)>& visit) const;

  // A number that rises with each change of an object of this kind; 0 for a kind that holds none.
  std::uint64_t Revision(std::string_view kind) const;

  // The highest version of any object held.
  ObjectVersion HighestVersion() const;

  ConfigurationDigest Digest() const;

  // The kind's bucket hashes, for the request to a peer whose digest of this kind differs.
  KindBuckets Buckets(const std::string& kind) const;

  // Answers a peer's request with at most `limit_bytes` of objects; a single larger object is sent alone.
  DifferencesAnswer Differences(const DifferencesRequest& request, std::size_t limit_bytes) const;

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
