#include "stand_ins/endpoint/log.h"

#include <algorithm>
#include <utility>

#include "stand_ins/endpoint/log_message.h"

namespace amaranthlane::stand_ins {

void Log::Append(LogEntry entry) {
  StoredEntry stored;
  for (const RowWrite& write : entry.writes) {
    const auto [row, added] = this->rows.try_emplace(write.key);
    stored.previous.push_back({write.key, added ? std::nullopt : std::optional<std::string>(std::move(row->second))});
    row->second = write.value;
  }
  stored.text = FormatLogEntry(entry);
  stored.entry = std::move(entry);
  this->entries.push_back(std::move(stored));
  const std::string& key = this->entries.back().entry.idempotency_key;
  if (!key.empty()) {
    this->offset_by_key[key] = this->entries.size();
  }
}

void Log::TruncateTo(std::uint64_t offset) {
  while (this->entries.size() > offset) {
    StoredEntry& last = this->entries.back();
    for (auto previous = last.previous.rbegin(); previous != last.previous.rend(); ++previous) {
      if (previous->value) {
        this->rows[previous->key] = std::move(*previous->value);
      } else {
        this->rows.erase(previous->key);
      }
    }
    this->offset_by_key.erase(last.entry.idempotency_key);
    this->entries.pop_back();
  }
}

Position Log::LastPosition() const {
  if (this->entries.empty()) {
    return {};
  }
  return {this->entries.back().entry.term, this->entries.size()};
}

bool Log::Contains(Position position) const {
  if (position.offset == 0) {
    return true;
  }
  return position.offset <= this->entries.size() && this->EntryAt(position.offset).term == position.term;
}

const LogEntry& Log::EntryAt(std::uint64_t offset) const { return this->entries[offset - 1].entry; }

std::string Log::FormatAfter(std::uint64_t offset, std::size_t limit) const {
  std::string text;
  const std::size_t end = std::min(this->entries.size(), offset + limit);
  for (std::size_t index = offset; index < end; ++index) {
    if (index > offset) {
      text += ',';
    }
    text += this->entries[index].text;
  }
  return text;
}

std::optional<std::uint64_t> Log::OffsetOfKey(const std::string& idempotency_key) const {
  const auto found = this->offset_by_key.find(idempotency_key);
  return found == this->offset_by_key.end() ? std::nullopt : std::optional(found->second);
}

const Rows& Log::GetRows() const { return this->rows; }

}  // namespace amaranthlane::stand_ins
