#ifndef AMARANTHLANE_CORE_CONFIGURATION_LABELS_H_
#define AMARANTHLANE_CORE_CONFIGURATION_LABELS_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace amaranthlane::configuration {

// Label keys and their values, sorted by key.
using LabelSet = std::map<std::string, std::string, std::less<>>;

// A `labels` object: labels, and the names of the groups, callers and kinds that they are attached to.
struct Labels {
  std::vector<std::string> groups;
  std::vector<std::string> callers;
  std::vector<std::string> kinds;
  LabelSet labels;
};

// Throws ParseError.
Labels ParseLabels(const nlohmann::json& value);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_LABELS_H_
