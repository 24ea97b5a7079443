#include "stand_ins/endpoint/transaction.h"

#include <charconv>
#include <utility>

#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

namespace {

std::string Add(const std::optional<std::string>& value, const Statement& statement) {
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

// Applies one write to the former value of its row.
std::string Apply(const std::optional<std::string>& value, const Statement& write) {
  return write.operation == Operation::kPut ? write.value : Add(value, write);
}

std::optional<std::string> Find(const std::string& key, const Rows& rows) {
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
    return this->List(statement, rows);
  }
  const std::optional<std::string> value = this->Value(statement.key, rows);
  if (!statement.IsWrite()) {
    return FormatValue(value);
  }
  std::string written = Apply(value, statement);
  this->writes.push_back(statement);
  return FormatValue(std::move(written));
}

LogEntry Transaction::MakeEntry(const Rows& rows) const {
  LogEntry entry;
  entry.term = this->term;
  Rows changed;
  for (const Statement& write : this->writes) {
    const bool again = changed.contains(write.key);
    changed[write.key] = Apply(again ? Find(write.key, changed) : Find(write.key, rows), write);
  }
  for (auto& [key, value] : changed) {
    entry.writes.push_back({key, std::move(value)});
  }
  return entry;
}

std::string Transaction::Text() const {
  std::string text;
  for (const Statement& write : this->writes) {
    text += write.text;
    text += '\n';
  }
  return text;
}

bool Transaction::HasWrites() const { return !this->writes.empty(); }

std::optional<std::string> Transaction::Value(const std::string& key, const Rows& rows) const {
  std::optional<std::string> value = Find(key, rows);
  for (const Statement& write : this->writes) {
    if (write.key == key) {
      value = Apply(value, write);
    }
  }
  return value;
}

std::string Transaction::List(const Statement& statement, const Rows& rows) const {
  if (this->writes.empty()) {
    return FormatRows(rows, statement.key, statement.limit);
  }
  Rows seen;
  for (auto row = rows.lower_bound(statement.key); row != rows.end() && HasPrefix(row->first, statement.key); ++row) {
    seen.insert(*row);
  }
  for (const Statement& write : this->writes) {
    if (HasPrefix(write.key, statement.key)) {
      seen[write.key] = Apply(Find(write.key, seen), write);
    }
  }
  return FormatRows(seen, statement.key, statement.limit);
}

std::string FormatValue(const std::optional<std::string>& value) {
  return R"({"value":)" + value.value_or("null") + "}";
}

}  // namespace amaranthlane::stand_ins
