#include "core/configuration/obligation_resolver.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "common/error.h"

namespace amaranthlane::configuration {

namespace {

// Callers choose the names in a request, so the cache is emptied when it reaches this many entries.
constexpr std::size_t kMaximumCacheEntries = 65536;

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

template <typename Work>
std::size_t HashWork(const Work& work) {
  const std::uint64_t mode = static_cast<std::uint64_t>(work.mode);
  return HashText(work.kind, HashText(work.group, HashText(work.caller, mode)));
}

template <typename Left, typename Right>
bool SameWork(const Left& left, const Right& right) {
  return left.mode == right.mode && left.kind == right.kind && left.group == right.group && left.caller == right.caller;
}

// Adds the labels of one thing under its prefix.
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

void Attach(const std::vector<std::string>& names, const LabelSet& labels,
            std::map<std::string, LabelSet, std::less<>>& table) {
  for (const std::string& name : names) {
    for (const auto& [key, value] : labels) {
      table[name][key] = value;
    }
  }
}

}  // namespace

ObligationResolver::ObligationResolver(ServiceRequirements defaults) : defaults(defaults) {}

bool ObligationResolver::Refresh(const ObjectStore& store) {
  const std::uint64_t labels = store.Revision(kLabelsKind);
  const std::uint64_t selectors = store.Revision(kSelectorsKind);
  if (labels == this->labels_revision && selectors == this->selectors_revision) {
    return false;
  }
  this->labels_revision = labels;
  this->selectors_revision = selectors;
  this->faults.clear();
  this->cache.clear();
  this->TakeLabels(store);
  this->TakeSelectors(store);
  return true;
}

const ServiceRequirements& ObligationResolver::Resolve(const WorkDescription& work) {
  const auto found = this->cache.find(work);
  if (found != this->cache.end()) {
    return found->second;
  }
  if (this->cache.size() >= kMaximumCacheEntries) {
    this->cache.clear();
  }
  ServiceRequirements requirements = this->defaults;
  const LabelSet labels = this->EffectiveLabels(work);
  for (const NamedSelector& entry : this->selectors) {
    if (Matches(entry.selector, labels)) {
      Merge(entry.selector.owes, requirements);
    }
  }
  if (work.mode == WorkMode::kRead) {
    requirements.idempotent = true;
  }
  CacheKey key{std::string(work.caller), std::string(work.group), std::string(work.kind), work.mode};
  return this->cache.emplace(std::move(key), requirements).first->second;
}

LabelSet ObligationResolver::EffectiveLabels(const WorkDescription& work) const {
  LabelSet labels;
  AddLabels(this->group_labels, "group.", work.group, labels);
  AddLabels(this->caller_labels, "caller.", work.caller, labels);
  AddLabels(this->kind_labels, "kind.", work.kind, labels);
  labels["mode"] = work.mode == WorkMode::kRead ? "read" : "write";
  return labels;
}

const std::vector<ObjectFault>& ObligationResolver::Faults() const { return this->faults; }

// Objects come in the order of their names, so that of two that give one key the later name wins everywhere.
void ObligationResolver::TakeLabels(const ObjectStore& store) {
  this->group_labels.clear();
  this->caller_labels.clear();
  this->kind_labels.clear();
  store.ForEach(kLabelsKind, [this](const PlatformObject& object) {
    try {
      const Labels labels = ParseLabels(object.value);
      Attach(labels.groups, labels.labels, this->group_labels);
      Attach(labels.callers, labels.labels, this->caller_labels);
      Attach(labels.kinds, labels.labels, this->kind_labels);
    } catch (const ParseError& error) {
      this->faults.push_back({object.kind, object.name, error.key, error.expected});
    }
  });
}

void ObligationResolver::TakeSelectors(const ObjectStore& store) {
  this->selectors.clear();
  store.ForEach(kSelectorsKind, [this](const PlatformObject& object) {
    try {
      this->selectors.push_back({object.name, ParseSelector(object.value)});
    } catch (const ParseError& error) {
      this->faults.push_back({object.kind, object.name, error.key, error.expected});
    }
  });
  // Stable: within one priority the order of names remains.
  std::stable_sort(this->selectors.begin(), this->selectors.end(),
                   [](const NamedSelector& left, const NamedSelector& right) {
                     return left.selector.priority < right.selector.priority;
                   });
}

std::size_t ObligationResolver::CacheHash::operator()(const WorkDescription& work) const { return HashWork(work); }

std::size_t ObligationResolver::CacheHash::operator()(const CacheKey& key) const { return HashWork(key); }

bool ObligationResolver::CacheEqual::operator()(const CacheKey& left, const CacheKey& right) const {
  return SameWork(left, right);
}

bool ObligationResolver::CacheEqual::operator()(const WorkDescription& left, const CacheKey& right) const {
  return SameWork(left, right);
}

bool ObligationResolver::CacheEqual::operator()(const CacheKey& left, const WorkDescription& right) const {
  return SameWork(left, right);
}

}  // namespace amaranthlane::configuration
