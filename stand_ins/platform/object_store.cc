#include "stand_ins/platform/object_store.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "stand_ins/platform/problems.h"

namespace amaranthlane::stand_ins {

namespace {

constexpr std::size_t kMaxValueBytes = 1'000'000;

std::string FormatKey(const ObjectKey& key) { return key.kind + "/" + key.name; }

}  // namespace

bool ObjectKey::operator<(const ObjectKey& other) const {
  return std::tie(this->kind, this->name) < std::tie(other.kind, other.name);
}

nlohmann::json PlatformObject::ToJson() const {
  nlohmann::json object = {
      {"kind", this->key.kind}, {"name", this->key.name}, {"version", this->version}, {"deleted", this->deleted}};
  if (!this->deleted) {
    object["value"] = this->value;
  }
  return object;
}

const PlatformObject& ObjectStore::Get(const ObjectKey& key) const {
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) {
    throw NotFoundError(FormatKey(key), 0);
  }
  if (found->second.deleted) {
    throw NotFoundError(FormatKey(key), found->second.version);
  }
  return found->second;
}

std::vector<const PlatformObject*> ObjectStore::ChangedAfter(std::uint64_t after,
                                                             const std::vector<std::string>& kinds) const {
  std::vector<const PlatformObject*> changed;
  for (auto change = this->key_by_version.upper_bound(after); change != this->key_by_version.end(); ++change) {
    const ObjectKey& key = change->second;
    if (kinds.empty() || std::find(kinds.begin(), kinds.end(), key.kind) != kinds.end()) {
      changed.push_back(&this->objects.at(key));
    }
  }
  return changed;
}

std::uint64_t ObjectStore::Put(const ObjectKey& key, std::optional<std::uint64_t> expected_version,
                               nlohmann::json value) {
  if (value.dump().size() > kMaxValueBytes) {
    throw ValueTooLargeError(FormatKey(key));
  }
  const auto found = this->objects.find(key);
  const bool exists = found != this->objects.end();
  const std::uint64_t current = exists ? found->second.version : 0;
  const bool absent = !exists || found->second.deleted;
  if (expected_version && *expected_version != current && !(*expected_version == 0 && absent)) {
    throw ConflictError(FormatKey(key), exists ? found->second.ToJson() : nlohmann::json());
  }
  return this->ApplyChange(key, /*deleted=*/false, std::move(value));
}

std::uint64_t ObjectStore::Delete(const ObjectKey& key, std::optional<std::uint64_t> expected_version) {
  const PlatformObject& object = this->Get(key);
  if (expected_version && *expected_version != object.version) {
    throw ConflictError(FormatKey(key), object.ToJson());
  }
  return this->ApplyChange(key, /*deleted=*/true, nlohmann::json());
}

std::uint64_t ObjectStore::LatestVersion() const { return this->version; }

std::uint64_t ObjectStore::ApplyChange(const ObjectKey& key, bool deleted, nlohmann::json value) {
  PlatformObject& object = this->objects[key];
  this->key_by_version.erase(object.version);
  ++this->version;
  object = {key, this->version, deleted, std::move(value)};
  this->key_by_version.emplace(this->version, key);
  return this->version;
}

}  // namespace amaranthlane::stand_ins
