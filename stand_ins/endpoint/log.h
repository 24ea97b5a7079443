#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace amaranthlane::stand_ins {

// A position in the log: the term of an entry and its offset, counted from 1. Offset 0 is the position before the first
// entry.
struct Position {
  std::uint64_t term = 0;
  std::uint64_t offset = 0;
};

// The new value, as JSON text, of one row.
struct RowWrite {
  std::string key;
  std::string value;
};

// A committed transaction.
struct LogEntry {
  std::uint64_t term = 0;
  std::vector<RowWrite> writes;
  // Empty if the commit had no key.
  std::string idempotency_key;
  // The statement that the key was used for, and the JSON text of the result that a repeated request gets.
  std::string statement;
  std::string result;
};

// The rows by key; the values are JSON text.
using Rows = std::map<std::string, std::string>;

// The log of an instance, with the rows and idempotency keys that result from it. Truncating the log restores the
// earlier rows.
class Log {
 public:
  // Appends an entry and applies it to the rows.
  void Append(LogEntry entry);
  // Removes the entries after `offset` and undoes them, newest first.
  void TruncateTo(std::uint64_t offset);
  // The position of the newest entry.
  Position LastPosition() const;
  // Whether the log has an entry with this term and offset; true for offset 0.
  bool Contains(Position position) const;
  // The entry at `offset`, which must be in the log.
  const LogEntry& EntryAt(std::uint64_t offset) const;
  // The JSON text of the entries after `offset`, at most `limit` of them, separated by commas.
  std::string FormatAfter(std::uint64_t offset, std::size_t limit) const;
  // The offset of the entry with the idempotency key, if any.
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
    // The JSON text of the entry, formatted once for all replicas.
    std::string text;
    std::vector<PreviousValue> previous;
  };

  std::vector<StoredEntry> entries;
  Rows rows;
  std::unordered_map<std::string, std::uint64_t> offset_by_key;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_LOG_H_
