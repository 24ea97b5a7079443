#include "core/configuration/object_store.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthlane::configuration {

namespace {

std::size_t BucketOf(std::string_view name) { return XXH3_64bits(name.data(), name.size()) % kBucketCount; }

// The kind's hash seeds the version's hash, which seeds the name's hash.
std::uint64_t HashOf(const PlatformObject& object) {
  const std::uint64_t kind = XXH3_64bits(object.kind.data(), object.kind.size());
  const std::uint64_t version = XXH3_64bits_withSeed(&object.version, sizeof(object.version), kind);
  return XXH3_64bits_withSeed(object.name.data(), object.name.size(), version);
}

std::size_t SizeOf(const PlatformObject& object) { return ToJson(object).dump().size(); }

}  // namespace

bool ObjectStore::Apply(PlatformObject object) {
  KindTable& table = this->kinds[object.kind];
  PlatformObject& held = table.objects[object.name];
  if (object.version <= held.version) {
    // Removes the empty object that the lookup has inserted for a new name with version 0.
    if (held.version == 0) {
      table.objects.erase(object.name);
    }
    return false;
  }
  std::uint64_t& bucket = table.buckets[BucketOf(object.name)];
  if (held.version != 0) {
    bucket ^= HashOf(held);
  }
  bucket ^= HashOf(object);
  table.highest_version = std::max(table.highest_version, object.version);
  this->highest_version = std::max(this->highest_version, object.version);
  ++table.revision;
  held = std::move(object);
  if (held.deleted) {
    held.value = nullptr;
  }
  return true;
}

bool ObjectStore::ApplyList(const std::string& kind, ObjectVersion version, std::vector<PlatformObject> objects) {
  std::set<std::string, std::less<>> listed;
  bool changed = false;
  for (PlatformObject& object : objects) {
    if (object.kind == kind) {
      listed.insert(object.name);
      changed = this->Apply(std::move(object)) || changed;
    }
  }
  std::vector<std::string> missing;
  this->ForEach(kind, [&](const PlatformObject& object) {
    if (object.version <= version && !listed.contains(object.name)) {
      missing.push_back(object.name);
    }
  });
  for (const std::string& name : missing) {
    changed = this->Apply({kind, name, version, /*deleted=*/true, nullptr}) || changed;
  }
  return changed;
}

void ObjectStore::AdvanceCompleteThrough(ObjectVersion version) {
  this->complete_through = std::max(this->complete_through, version);
}

ObjectVersion ObjectStore::CompleteThrough() const { return this->complete_through; }

const PlatformObject* ObjectStore::Find(std::string_view kind, std::string_view name) const {
  const PlatformObject* object = this->FindWithTombstone(kind, name);
  return object == nullptr || object->deleted ? nullptr : object;
}

const PlatformObject* ObjectStore::FindWithTombstone(std::string_view kind, std::string_view name) const {
  const KindTable* table = this->Table(kind);
  if (table == nullptr) {
    return nullptr;
  }
  const auto found = table->objects.find(name);
  return found == table->objects.end() ? nullptr : &found->second;
}

void ObjectStore::ForEach(std::string_view kind, const std::function<void(const PlatformObject&)>& visit) const {
  const KindTable* table = this->Table(kind);
  if (table == nullptr) {
    return;
  }
  for (const auto& [name, object] : table->objects) {
    if (!object.deleted) {
      visit(object);
    }
  }
}

std::uint64_t ObjectStore::Revision(std::string_view kind) const {
  const KindTable* table = this->Table(kind);
  return table == nullptr ? 0 : table->revision;
}

ObjectVersion ObjectStore::HighestVersion() const { return this->highest_version; }

ConfigurationDigest ObjectStore::Digest() const {
  ConfigurationDigest digest{this->complete_through, {}};
  for (const auto& [kind, table] : this->kinds) {
    if (table.objects.empty()) {
      continue;
    }
    std::uint64_t hash = 0;
    for (const std::uint64_t bucket : table.buckets) {
      hash ^= bucket;
    }
    digest.kinds.push_back({kind, hash, table.highest_version});
  }
  return digest;
}

KindBuckets ObjectStore::Buckets(const std::string& kind) const {
  const KindTable* table = this->Table(kind);
  KindBuckets buckets{kind, std::vector<std::uint64_t>(kBucketCount, 0)};
  if (table != nullptr) {
    buckets.hashes.assign(table->buckets.begin(), table->buckets.end());
  }
  return buckets;
}

DifferencesReply ObjectStore::Differences(const DifferencesRequest& request, std::size_t limit_bytes) const {
  DifferencesReply reply{this->complete_through, {}, false};
  std::size_t bytes = 0;
  for (const PlatformObject* object : this->Candidates(request)) {
    bytes += SizeOf(*object);
    // Objects of one version are sent together, since the next request starts above the last version sent.
    const bool may_end = !reply.objects.empty() && reply.objects.back().version != object->version;
    if (bytes > limit_bytes && may_end) {
      reply.more = true;
      // All remaining objects are newer than the last one sent, so the receiver is complete up to its version.
      reply.complete_through = std::min(this->complete_through, reply.objects.back().version);
      break;
    }
    reply.objects.push_back(*object);
  }
  return reply;
}

const ObjectStore::KindTable* ObjectStore::Table(std::string_view kind) const {
  const auto found = this->kinds.find(kind);
  return found == this->kinds.end() ? nullptr : &found->second;
}

// Returns the requested objects in ascending order of version.
std::vector<const PlatformObject*> ObjectStore::Candidates(const DifferencesRequest& request) const {
  std::vector<const PlatformObject*> candidates;
  const auto collect = [&](const KindTable& table, const KindBuckets* peer_buckets) {
    for (const auto& [name, object] : table.objects) {
      const std::size_t bucket = peer_buckets == nullptr ? 0 : BucketOf(name);
      const bool differs = peer_buckets == nullptr || peer_buckets->hashes.at(bucket) != table.buckets.at(bucket);
      if (object.version > request.after && differs) {
        candidates.push_back(&object);
      }
    }
  };
  if (request.buckets.empty()) {
    for (const auto& [kind, table] : this->kinds) {
      collect(table, nullptr);
    }
  }
  for (const KindBuckets& peer_buckets : request.buckets) {
    if (const KindTable* table = this->Table(peer_buckets.kind)) {
      collect(*table, &peer_buckets);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const PlatformObject* left, const PlatformObject* right) { return left->version < right->version; });
  return candidates;
}

}  // namespace amaranthlane::configuration
