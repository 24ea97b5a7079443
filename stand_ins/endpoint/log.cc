#include "stand_ins/endpoint/log.h"

#include <algorithm>
#include <utility>

#include "stand_ins/endpoint/log_message.h"

namespace amaranthlane::stand_ins {

void Log::Append(LogEntry entry) {
  StoredEntry stored;
  for (const RowWrite& write : entry.writes) {
    const auto [row, added] = this->rows.try_emplace(write.key);
    stored.former.push_back({write.key, added ? std::nullopt : std::optional<std::string>(std::move(row->second))});
    row->second = write.value;
  }
  stored.text = FormatLogEntry(entry);
  stored.entry = std::move(entry);
  this->entries.push_back(std::move(stored));
  const std::string& key = this->entries.back().entry.idempotency_key;
  if (!key.empty()) {
    this->keys[key] = this->entries.size();
  }
}

void Log::TruncateTo(std::uint64_t offset) {
  while (this->entries.size() > offset) {
    StoredEntry& last = this->entries.back();
    for (auto former = last.former.rbegin(); former != last.former.rend(); ++former) {
      if (former->value) {
        this->rows[former->key] = std::move(*former->value);
      } else {
        this->rows.erase(former->key);
      }
    }
    this->keys.erase(last.entry.idempotency_key);
    this->entries.pop_back();
  }
}

Position Log::Last() const {
  if (this->entries.empty()) {
    return {};
  }
  return {this->entries.back().entry.term, this->entries.size()};
}

bool Log::Contains(Position position) const {
  if (position.offset == 0) {
    return true;
  }
  return position.offset <= this->entries.size() && this->At(position.offset).term == position.term;
}

const LogEntry& Log::At(std::uint64_t offset) const { return this->entries[offset - 1].entry; }

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
  const auto found = this->keys.find(idempotency_key);
  return found == this->keys.end() ? std::nullopt : std::optional(found->second);
}

const Rows& Log::AllRows() const { return this->rows; }

}  // namespace amaranthlane::stand_ins
