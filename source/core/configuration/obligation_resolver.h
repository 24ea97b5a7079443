#ifndef AMARANTHLANE_CORE_CONFIGURATION_OBLIGATION_RESOLVER_H_
#define AMARANTHLANE_CORE_CONFIGURATION_OBLIGATION_RESOLVER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/configuration/labels.h"
#include "core/configuration/object_fault.h"
#include "core/configuration/object_store.h"
#include "core/configuration/selector.h"
#include "core/types.h"

namespace amaranthlane::configuration {

enum class WorkMode : std::uint8_t { kRead, kWrite };

// What a request is, as far as labels and selectors can tell.
struct WorkDescription {
  std::string_view caller;
  std::string_view group;
  std::string_view kind;
  WorkMode mode = WorkMode::kWrite;
};

// Resolves requests to what the selectors in force owe them. Not safe for use from several threads at once.
class ObligationResolver {
 public:
  // `defaults` is what work is owed that no selector matches.
  explicit ObligationResolver(ServiceRequirements defaults = {});

  // Takes labels and selectors from the store if they changed. Returns whether they did. Until then all lookups use
  // the ones taken before.
  bool Refresh(const ObjectStore& store);

  // Merges the matching selectors in rising order of priority, then of name, over the defaults. A read
  // is always idempotent. The reference lasts until the next call.
  const ServiceRequirements& Resolve(const WorkDescription& work);

  // The labels that selectors see for this work: group.*, caller.*, kind.* and mode.
  LabelSet EffectiveLabels(const WorkDescription& work) const;

  // The objects that couldn't be read and so have no effect.
  const std::vector<ObjectFault>& Faults() const;

 private:
  struct NamedSelector {
    std::string name;
    Selector selector;
  };

  struct CacheKey {
    std::string caller;
    std::string group;
    std::string kind;
    WorkMode mode;
  };

  struct CacheHash {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): required by the unordered containers
    std::size_t operator()(const WorkDescription& work) const;
    std::size_t operator()(const CacheKey& key) const;
  };

  struct CacheEqual {
    using is_transparent = void;  // NOLINT(readability-identifier-naming): required by the unordered containers
    bool operator()(const CacheKey& left, const CacheKey& right) const;
    bool operator()(const WorkDescription& left, const CacheKey& right) const;
    bool operator()(const CacheKey& left, const WorkDescription& right) const;
  };

  using LabelTable = std::map<std::string, LabelSet, std::less<>>;

  void TakeLabels(const ObjectStore& store);
  void TakeSelectors(const ObjectStore& store);

  ServiceRequirements defaults;
  std::uint64_t labels_revision = 0;
  std::uint64_t selectors_revision = 0;
  LabelTable group_labels;
  LabelTable caller_labels;
  LabelTable kind_labels;
  // In rising order of priority, then of name.
  std::vector<NamedSelector> selectors;
  std::vector<ObjectFault> faults;
  std::unordered_map<CacheKey, ServiceRequirements, CacheHash, CacheEqual> cache;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_OBLIGATION_RESOLVER_H_
