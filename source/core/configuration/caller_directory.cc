#include "core/configuration/caller_directory.h"

#include <cstring>

#include "common/error.h"
#include "core/configuration/caller.h"

namespace amaranthlane::configuration {

bool CallerDirectory::Refresh(const ObjectStore& store) {
  const std::uint64_t current = store.Revision(kCallersKind);
  if (current == this->revision) {
    return false;
  }
  this->revision = current;
  this->callers.clear();
  this->invalid_objects.clear();
  store.ForEach(kCallersKind, [this](const PlatformObject& object) {
    try {
      for (const Sha256Digest& hash : ParseCaller(object.value).key_hashes) {
        this->callers.emplace(hash, object.name);
      }
    } catch (const ParseError& error) {
      this->invalid_objects.push_back({object.kind, object.name, error.key, error.expected});
    }
  });
  return true;
}

const std::string* CallerDirectory::Authenticate(std::string_view bearer_key) const {
  const auto found = this->callers.find(Sha256(bearer_key));
  return found == this->callers.end() ? nullptr : &found->second;
}

const std::vector<InvalidObject>& CallerDirectory::InvalidObjects() const { return this->invalid_objects; }

// SHA-256 digests are evenly distributed, so their first bytes serve as the hash.
std::size_t CallerDirectory::DigestHash::operator()(const Sha256Digest& digest) const {
  std::size_t hash = 0;
  std::memcpy(&hash, digest.data(), sizeof(hash));
  return hash;
}

}  // namespace amaranthlane::configuration
