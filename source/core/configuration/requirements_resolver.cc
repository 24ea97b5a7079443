#include "core/configuration/requirements_resolver.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "common/error.h"

namespace amaranthlane::configuration {

namespace {

// Callers choose the names in a request, so the cache is limited: it is cleared when it reaches this many entries.
constexpr std::size_t kMaxCacheEntries = 65536;

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

template <typename Request>
std::size_t HashRequest(const Request& request) {
  const std::uint64_t mode = static_cast<std::uint64_t>(request.mode);
  return HashText(request.kind, HashText(request.group, HashText(request.caller, mode)));
}

template <typename Left, typename Right>
bool SameRequest(const Left& left, const Right& right) {
  return left.mode == right.mode && left.kind == right.kind && left.group == right.group && left.caller == right.caller;
}

// Adds the labels of the group, caller or kind `name` with `prefix` before their keys.
void AddLabels(const std::map<std::string, LabelSet, std::less<>>& table, const std::string& prefix,
               std::string_view name, LabelSet& labels) {
  labels[prefix + "name"] = name;
  const auto found = table.find(name);
  if (found == table.end()) {
    return;
  }
  for (const auto& [key, value] : found->second) {
    labels[prefix + key] = value;
  }
}

void AttachLabels(const std::vector<std::string>& names, const LabelSet& labels,
                  std::map<std::string, LabelSet, std::less<>>& table) {
  for (const std::string& name : names) {
    for (const auto& [key, value] : labels) {
      table[name][key] = value;
    }
  }
}

}  // namespace

RequirementsResolver::RequirementsResolver(ServiceRequirements defaults) : defaults(defaults) {}

bool RequirementsResolver::Refresh(const ObjectStore& store) {
  const std::uint64_t labels = store.Revision(kLabelsKind);
  const std::uint64_t selectors = store.Revision(kSelectorsKind);
  if (labels == this->labels_revision && selectors == this->selectors_revision) {
    return false;
  }
  this->labels_revision = labels;
  this->selectors_revision = selectors;
  this->invalid_objects.clear();
  this->cache.clear();
  this->LoadLabels(store);
  this->LoadSelectors(store);
  return true;
}

const ServiceRequirements& RequirementsResolver::Resolve(const RequestAttributes& request) {
  const auto found = this->cache.find(request);
  if (found != this->cache.end()) {
    return found->second;
  }
  if (this->cache.size() >= kMaxCacheEntries) {
    this->cache.clear();
  }
  ServiceRequirements requirements = this->defaults;
  const LabelSet labels = this->EffectiveLabels(request);
  for (const NamedSelector& entry : this->selectors) {
    if (Matches(entry.selector, labels)) {
      ApplyOverrides(entry.selector.overrides, requirements);
    }
  }
  if (request.mode == AccessMode::kRead) {
    requirements.idempotent = true;
  }
  CacheKey key{std::string(request.caller), std::string(request.group), std::string(request.kind), request.mode};
  return this->cache.emplace(std::move(key), requirements).first->second;
}

LabelSet RequirementsResolver::EffectiveLabels(const RequestAttributes& request) const {
  LabelSet labels;
  AddLabels(this->group_labels, "group.", request.group, labels);
  AddLabels(this->caller_labels, "caller.", request.caller, labels);
  AddLabels(this->kind_labels, "kind.", request.kind, labels);
  labels["mode"] = request.mode == AccessMode::kRead ? "read" : "write";
  return labels;
}

const std::vector<InvalidObject>& RequirementsResolver::InvalidObjects() const { return this->invalid_objects; }

// Objects are visited in the order of their names. If two set the same key, the one with the later name wins, on every
// VM.
void RequirementsResolver::LoadLabels(const ObjectStore& store) {
  this->group_labels.clear();
  this->caller_labels.clear();
  this->kind_labels.clear();
  store.ForEach(kLabelsKind, [this](const PlatformObject& object) {
    try {
      const Labels labels = ParseLabels(object.value);
      AttachLabels(labels.groups, labels.labels, this->group_labels);
      AttachLabels(labels.callers, labels.labels, this->caller_labels);
      AttachLabels(labels.kinds, labels.labels, this->kind_labels);
    } catch (const ParseError& error) {
      this->invalid_objects.push_back({object.kind, object.name, error.key, error.expected});
    }
  });
}

void RequirementsResolver::LoadSelectors(const ObjectStore& store) {
  this->selectors.clear();
  store.ForEach(kSelectorsKind, [this](const PlatformObject& object) {
    try {
      this->selectors.push_back({object.name, ParseSelector(object.value)});
    } catch (const ParseError& error) {
      this->invalid_objects.push_back({object.kind, object.name, error.key, error.expected});
    }
  });
  // The stable sort keeps the order of names within one priority.
  std::stable_sort(this->selectors.begin(), this->selectors.end(),
                   [](const NamedSelector& left, const NamedSelector& right) {
                     return left.selector.priority < right.selector.priority;
                   });
}

std::size_t RequirementsResolver::CacheHash::operator()(const RequestAttributes& request) const {
  return HashRequest(request);
}

std::size_t RequirementsResolver::CacheHash::operator()(const CacheKey& key) const { return HashRequest(key); }

bool RequirementsResolver::CacheEqual::operator()(const CacheKey& left, const CacheKey& right) const {
  return SameRequest(left, right);
}

bool RequirementsResolver::CacheEqual::operator()(const RequestAttributes& left, const CacheKey& right) const {
  return SameRequest(left, right);
}

bool RequirementsResolver::CacheEqual::operator()(const CacheKey& left, const RequestAttributes& right) const {
  return SameRequest(left, right);
}

}  // namespace amaranthlane::configuration
