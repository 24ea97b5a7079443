#include "core/configuration/selector.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::configuration {

namespace {

constexpr const char* kDocument = "selector";

MatchExpression ParseMatch(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown({"key", "equals", "in", "exists", "not_in"});
  MatchExpression expression;
  expression.key = reader.String("key");
  // The key and exactly one operator.
  if (value.size() != 2) {
    throw ParseError(kDocument, "match", "exactly one of equals, in, exists and not_in beside key");
  }
  if (reader.Has("equals")) {
    expression.op = MatchOperator::kEquals;
    expression.values = {reader.String("equals")};
  } else if (reader.Has("in")) {
    expression.op = MatchOperator::kIn;
    expression.values = reader.Strings("in");
  } else if (reader.Has("not_in")) {
    expression.op = MatchOperator::kNotIn;
    expression.values = reader.Strings("not_in");
  } else {
    expression.exists = reader.Bool("exists");
  }
  return expression;
}

std::optional<Duration> ParseOptionalMilliseconds(const json::ObjectReader& reader, const char* key) {
  return reader.Has(key) ? std::optional<Duration>(reader.Milliseconds(key)) : std::nullopt;
}

std::optional<bool> ParseOptionalBool(const json::ObjectReader& reader, const char* key) {
  return reader.Has(key) ? std::optional(reader.Bool(key)) : std::nullopt;
}

OwedObligation ParseOwes(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown(
      {"rank", "freshness_ms", "acknowledgement", "read_your_writes", "idempotent", "time_limit_ms", "floor"});
  OwedObligation owes;
  if (reader.Has("rank")) {
    owes.rank = ParseRank(reader.String("rank"));
  }
  if (reader.Has("acknowledgement")) {
    owes.acknowledgement = ParseAcknowledgementLevel(reader.String("acknowledgement"));
  }
  if (reader.Has("floor")) {
    owes.floor = reader.Number("floor");
  }
  owes.max_staleness = ParseOptionalMilliseconds(reader, "freshness_ms");
  owes.time_limit = ParseOptionalMilliseconds(reader, "time_limit_ms");
  owes.read_your_writes = ParseOptionalBool(reader, "read_your_writes");
  owes.idempotent = ParseOptionalBool(reader, "idempotent");
  if (owes.floor && !(*owes.floor >= 0.0 && *owes.floor <= 1.0)) {
    throw ParseError(kDocument, "floor", "a share from 0 to 1");
  }
  if (owes.time_limit && *owes.time_limit == Duration::zero()) {
    throw ParseError(kDocument, "time_limit_ms", "at least 1");
  }
  if (value.empty()) {
    throw ParseError(kDocument, "owes", "at least one obligation");
  }
  return owes;
}

bool MatchesOne(const MatchExpression& expression, const LabelSet& labels) {
  const auto found = labels.find(expression.key);
  const bool present = found != labels.end();
  const auto listed = [&] {
    return std::find(expression.values.begin(), expression.values.end(), found->second) != expression.values.end();
  };
  switch (expression.op) {
    case MatchOperator::kEquals:
    case MatchOperator::kIn:
      return present && listed();
    case MatchOperator::kExists:
      return present == expression.exists;
    case MatchOperator::kNotIn:
      return !present || !listed();
  }
  return false;
}

}  // namespace

Selector ParseSelector(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  reader.RejectUnknown({"match", "priority", "owes", "update_id"});
  reader.StringOr("update_id", "");
  Selector selector;
  for (const nlohmann::json& expression : reader.Array("match")) {
    selector.match.push_back(ParseMatch(expression));
  }
  selector.priority = reader.UnsignedOr("priority", 0);
  selector.owes = ParseOwes(reader.Object("owes"));
  return selector;
}

bool Matches(const Selector& selector, const LabelSet& labels) {
  return std::all_of(selector.match.begin(), selector.match.end(),
                     [&labels](const MatchExpression& expression) { return MatchesOne(expression, labels); });
}

void Merge(const OwedObligation& owed, ServiceRequirements& requirements) {
  requirements.rank = owed.rank.value_or(requirements.rank);
  requirements.max_staleness = owed.max_staleness.value_or(requirements.max_staleness);
  requirements.acknowledgement = owed.acknowledgement.value_or(requirements.acknowledgement);
  requirements.read_your_writes = owed.read_your_writes.value_or(requirements.read_your_writes);
  requirements.idempotent = owed.idempotent.value_or(requirements.idempotent);
  requirements.time_limit = owed.time_limit.value_or(requirements.time_limit);
  requirements.floor = owed.floor.value_or(requirements.floor);
}

}  // namespace amaranthlane::configuration
