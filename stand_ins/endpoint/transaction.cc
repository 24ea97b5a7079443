#include "stand_ins/endpoint/transaction.h"

#include <charconv>
#include <utility>

#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

namespace {

std::string EvaluateAdd(const std::optional<std::string>& value, const Statement& statement) {
  std::int64_t counter = 0;
  if (value && *value != "null") {
    const char* end = value->data() + value->size();
    const auto [stop, error] = std::from_chars(value->data(), end, counter);
    if (error != std::errc() || stop != end) {
      throw NotANumberError(statement.key);
    }
  }
  std::int64_t sum = 0;
  if (__builtin_add_overflow(counter, statement.amount, &sum)) {
    throw NotANumberError(statement.key);
  }
  return std::to_string(sum);
}

// The new value of a row after `write`, given its previous value.
std::string EvaluateWrite(const std::optional<std::string>& value, const Statement& write) {
  return write.operation == Operation::kPut ? write.value : EvaluateAdd(value, write);
}

std::optional<std::string> FindValue(const std::string& key, const Rows& rows) {
  const auto found = rows.find(key);
  return found == rows.end() ? std::nullopt : std::optional(found->second);
}

bool HasPrefix(const std::string& key, const std::string& prefix) { return key.compare(0, prefix.size(), prefix) == 0; }

std::string FormatRows(const Rows& rows, const std::string& prefix, std::uint64_t limit) {
  std::string text = R"({"rows":[)";
  std::uint64_t count = 0;
  for (auto row = rows.lower_bound(prefix); row != rows.end() && HasPrefix(row->first, prefix); ++row) {
    if (count == limit) {
      break;
    }
    text += count == 0 ? R"({"key":)" : R"(,{"key":)";
    AppendJsonString(text, row->first);
    text += R"(,"value":)" + row->second + "}";
    ++count;
  }
  return text + "]}";
}

}  // namespace

Transaction::Transaction(std::uint64_t term) : term(term) {}

std::string Transaction::Run(const Statement& statement, const Rows& rows) {
  if (statement.operation == Operation::kList) {
    return this->ListRows(statement, rows);
  }
  const std::optional<std::string> value = this->ReadValue(statement.key, rows);
  if (!statement.IsWrite()) {
    return FormatValue(value);
  }
  std::string new_value = EvaluateWrite(value, statement);
  this->writes.push_back(statement);
  return FormatValue(std::move(new_value));
}

LogEntry Transaction::MakeLogEntry(const Rows& rows) const {
  LogEntry entry;
  entry.term = this->term;
  Rows changed_rows;
  for (const Statement& write : this->writes) {
    const bool already_changed = changed_rows.contains(write.key);
    changed_rows[write.key] =
        EvaluateWrite(already_changed ? FindValue(write.key, changed_rows) : FindValue(write.key, rows), write);
  }
  for (auto& [key, value] : changed_rows) {
    entry.writes.push_back({key, std::move(value)});
  }
  return entry;
}

std::string Transaction::CanonicalText() const {
  std::string text;
  for (const Statement& write : this->writes) {
    text += write.canonical_text;
    text += '\n';
  }
  return text;
}

bool Transaction::HasWrites() const { return !this->writes.empty(); }

std::optional<std::string> Transaction::ReadValue(const std::string& key, const Rows& rows) const {
  std::optional<std::string> value = FindValue(key, rows);
  for (const Statement& write : this->writes) {
    if (write.key == key) {
      value = EvaluateWrite(value, write);
    }
  }
  return value;
}

std::string Transaction::ListRows(const Statement& statement, const Rows& rows) const {
  if (this->writes.empty()) {
    return FormatRows(rows, statement.key, statement.limit);
  }
  Rows visible_rows;
  for (auto row = rows.lower_bound(statement.key); row != rows.end() && HasPrefix(row->first, statement.key); ++row) {
    visible_rows.insert(*row);
  }
  for (const Statement& write : this->writes) {
    if (HasPrefix(write.key, statement.key)) {
      visible_rows[write.key] = EvaluateWrite(FindValue(write.key, visible_rows), write);
    }
  }
  return FormatRows(visible_rows, statement.key, statement.limit);
}

std::string FormatValue(const std::optional<std::string>& value) {
  return R"({"value":)" + value.value_or("null") + "}";
}

}  // namespace amaranthlane::stand_ins
