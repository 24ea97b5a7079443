#ifndef AMARANTHLANE_CORE_CONFIGURATION_REQUIREMENTS_RESOLVER_H_
#define AMARANTHLANE_CORE_CONFIGURATION_REQUIREMENTS_RESOLVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/configuration/invalid_object.h"
#include "core/configuration/labels.h"
#include "core/configuration/object_store.h"
#include "core/configuration/selector.h"
#include "core/types.h"

namespace amaranthlane::configuration {

enum class AccessMode : std::uint8_t { kRead, kWrite };

// The attributes of a request by which labels and selectors distinguish requests.
struct RequestAttributes {
  std::string_view caller;
  std::string_view group;
  std::string_view kind;
  AccessMode mode = AccessMode::kWrite;
};

// Determines the service requirements of a request from the current selectors. Not thread-safe.
class RequirementsResolver {
 public:
  // `defaults` are the requirements of requests that no selector matches.
  explicit RequirementsResolver(ServiceRequirements defaults = {});

  // Reloads the labels and selectors from the store if they changed. Returns whether they did. Until the next call, all
  // lookups use the ones loaded here.
  bool Refresh(const ObjectStore& store);

  // Applies the matching selectors to the defaults in ascending order of priority, then of name. A read is always
  // idempotent. The reference is valid until the next call.
  const ServiceRequirements& Resolve(const RequestAttributes& request);

  // Returns the labels that selectors match for this request: group.*, caller.*, kind.* and mode.
  LabelSet EffectiveLabels(const RequestAttributes& request) const;

  // The objects that could not be parsed and have no effect.
  const std::vector<InvalidObject>& InvalidObjects() const;

 private:
  struct NamedSelector {
    std::string name;
    Selector selector;
  };

  struct CacheKey {
    std::string caller;
    std::string group;
    std::string kind;
    AccessMode mode;
  };

  struct CacheHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): required by the unordered containers
    std::size_t operator()(const RequestAttributes& request) const;
    std::size_t operator()(const CacheKey& key) const;
  };

  struct CacheEqual {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): required by the unordered containers
    bool operator()(const CacheKey& left, const CacheKey& right) const;
    bool operator()(const RequestAttributes& left, const CacheKey& right) const;
    bool operator()(const CacheKey& left, const RequestAttributes& right) const;
  };

  using LabelTable = std::map<std::string, LabelSet, std::less<>>;

  void LoadLabels(const ObjectStore& store);
  void LoadSelectors(const ObjectStore& store);

  ServiceRequirements defaults;
  std::uint64_t labels_revision = 0;
  std::uint64_t selectors_revision = 0;
  LabelTable group_labels;
  LabelTable caller_labels;
  LabelTable kind_labels;
  // In ascending order of priority, then of name.
  std::vector<NamedSelector> selectors;
  std::vector<InvalidObject> invalid_objects;
  std::unordered_map<CacheKey, ServiceRequirements, CacheHash, CacheEqual> cache;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_REQUIREMENTS_RESOLVER_H_
