#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthlane::stand_ins {

// A place in the log: the term of the entry there and its number, counted from 1. 0 is the place before all entries.
struct Position {
  std::uint64_t term = 0;
  std::uint64_t offset = 0;
};

// The new value, as JSON text, of one row.
struct RowWrite {
  std::string key;
  std::string value;
};

// One commit.
struct LogEntry {
  std::uint64_t term = 0;
  std::vector<RowWrite> writes;
  // Empty: the commit had no key.
  std::string idempotency_key;
  // What the key stands for, and the JSON text of the result that a repetition gets.
  std::string statement;
  std::string result;
};

// The rows by key; the values are JSON text.
using Rows = std::map<std::string, std::string>;

// The log of an instance with the rows and idempotency keys that it yields. Dropping entries restores the rows.
class Log {
 public:
  // Adds an entry and applies it.
  void Append(LogEntry entry);
  // Drops the entries after `offset` and undoes them, newest first.
  void TruncateTo(std::uint64_t offset);
  // The place of the newest entry.
  Position LastPosition() const;
  // Whether the entry at this place is in the log. The place before all entries always is.
  bool Contains(Position position) const;
  // The entry at `offset`, which must be in the log.
  const LogEntry& EntryAt(std::uint64_t offset) const;
  // The JSON text of the entries after `offset`, at most `limit` of them, separated by commas.
  std::string FormatAfter(std::uint64_t offset, std::size_t limit) const;
  // The offset of the commit that stored the key.
  std::optional<std::uint64_t> OffsetOfKey(const std::string& idempotency_key) const;
  const Rows& GetRows() const;

 private:
  // The value, if any, that a row had before an entry.
  struct PreviousValue {
    std::string key;
    std::optional<std::string> value;
  };
  struct StoredEntry {
    LogEntry entry;
    // The entry's JSON text, made once for all replicas.
    std::string text;
    std::vector<PreviousValue> previous;
  };

  std::vector<StoredEntry> entries;
  Rows rows;
  std::unordered_map<std::string, std::uint64_t> offset_by_key;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_
