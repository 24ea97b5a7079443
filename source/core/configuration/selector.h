#ifndef AMARANTHLANE_CORE_CONFIGURATION_SELECTOR_H_
#define AMARANTHLANE_CORE_CONFIGURATION_SELECTOR_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration/labels.h"
#include "core/types.h"

namespace amaranthlane::configuration {

enum class MatchOperator : std::uint8_t { kEquals, kIn, kExists, kNotIn };

// One condition on the labels of a request.
struct MatchExpression {
  std::string key;
  MatchOperator op = MatchOperator::kExists;
  // One value for kEquals, any number for kIn and kNotIn, none for kExists.
  std::vector<std::string> values;
  // For kExists: false requires that the key be absent.
  bool exists = true;
};

// The values that a selector sets for service requirements. An absent member leaves its requirement unchanged.
struct RequirementOverrides {
  std::optional<Rank> rank;
  std::optional<Duration> max_staleness;
  std::optional<AcknowledgementLevel> acknowledgement;
  std::optional<bool> read_your_writes;
  std::optional<bool> idempotent;
  std::optional<Duration> time_limit;
  std::optional<double> floor;
};

// A `selectors` object: overrides of the service requirements of requests whose labels match every expression.
struct Selector {
  std::vector<MatchExpression> match;
  // Selectors are applied in ascending order of priority, so the highest wins.
  std::uint64_t priority = 0;
  RequirementOverrides overrides;
};

// Throws ParseError.
Selector ParseSelector(const nlohmann::json& value);

// True when the labels satisfy every expression of the selector. An absent key satisfies not_in.
bool Matches(const Selector& selector, const LabelSet& labels);

// Overwrites the requirements that `overrides` sets.
void ApplyOverrides(const RequirementOverrides& overrides, ServiceRequirements& requirements);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_SELECTOR_H_
