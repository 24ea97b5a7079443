#include "common/list_reader.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "common/json_text.h"

namespace amaranthlane::json {

namespace {

constexpr char kQuote = '"';
constexpr char kEscape = '\\';
constexpr std::string_view kNull = "null";
constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kWordEnds = " \t\r\n,:[]{}\"";
// The other members of an element have room beside those that are kept whole.
constexpr std::size_t kMaxWholeValues = kMaxValues - 1024;

bool Contains(std::string_view characters, char character) {
  return characters.find(character) != std::string_view::npos;
}

bool Opens(char character) { return character == '[' || character == '{'; }

bool Closes(char character) { return character == ']' || character == '}'; }

// The text between a key's quotes, without its escapes. Empty if it can't be read.
std::string DecodeKey(const std::string& quoted) {
  if (!Contains(quoted, kEscape)) {
    return quoted.substr(1, quoted.size() - 2);
  }
  const nlohmann::json decoded = nlohmann::json::parse(quoted, nullptr, /*allow_exceptions=*/false);
  return decoded.is_string() ? decoded.get<std::string>() : std::string();
}

}  // namespace

Selection Whole() { return {SelectionKind::kWhole, {}}; }

Selection Members(std::vector<SelectedMember> members) { return {SelectionKind::kMembers, std::move(members)}; }

Selection Elements(Selection element) { return {SelectionKind::kElements, {{"", std::move(element)}}}; }

ListReader::ListReader(Selection selection, std::string document, ElementCallback on_element)
    : selection(std::move(selection)), document(std::move(document)), on_element(std::move(on_element)) {}

void ListReader::Append(std::string_view part) {
  std::size_t position = 0;
  while (position < part.size()) {
    if (this->token == Token::kString) {
      position = this->ReadString(part, position);
    } else if (this->token == Token::kWord) {
      position = this->ReadWord(part, position);
    } else if (this->skipped_depth > 0) {
      this->SkipStructure(part[position++]);
    } else if (Contains(kWordEnds, part[position])) {
      this->ReadStructure(part[position++]);
    } else {
      this->BeginToken(Token::kWord);
    }
  }
}

nlohmann::json ListReader::Finish() {
  if (!this->complete) {
    this->Fail("a complete JSON document");
  }
  return ParseSharedDocument(this->document_text, this->document);
}

std::size_t ListReader::ReadString(std::string_view part, std::size_t position) {
  if (std::exchange(this->escaped, false)) {
    this->KeepBytes(part.substr(position, 1));
    return position + 1;
  }
  std::size_t end = position;
  while (end < part.size() && part[end] != kQuote && part[end] != kEscape) {
    ++end;
  }
  const bool at_mark = end < part.size();
  this->KeepBytes(part.substr(position, end - position + (at_mark ? 1 : 0)));
  if (!at_mark) {
    return end;
  }
  if (part[end] == kEscape) {
    this->escaped = true;
  } else {
    this->EndToken();
  }
  return end + 1;
}

std::size_t ListReader::ReadWord(std::string_view part, std::size_t position) {
  std::size_t end = position;
  while (end < part.size() && !Contains(kWordEnds, part[end])) {
    ++end;
  }
  this->KeepBytes(part.substr(position, end - position));
  if (end < part.size()) {
    this->EndToken();
  }
  return end;
}

void ListReader::KeepBytes(std::string_view bytes) {
  if (!this->token_kept || this->token_too_long) {
    return;
  }
  if (this->token_text.size() + bytes.size() > this->token_limit) {
    this->token_too_long = true;
    return;
  }
  this->token_text += bytes;
}

void ListReader::SkipStructure(char next) {
  if (next == kQuote) {
    this->token = Token::kString;
    this->token_kept = false;
  } else if (Opens(next)) {
    ++this->skipped_depth;
  } else if (Closes(next) && --this->skipped_depth == 0) {
    this->EndValue();
  }
}

void ListReader::ReadStructure(char next) {
  if (Contains(kBlanks, next)) {
    return;
  }
  if (this->complete || (this->frames.empty() && next != '{')) {
    this->Fail("one JSON object");
  }
  if (next == kQuote) {
    this->BeginToken(Token::kString);
  } else if (Opens(next)) {
    this->Open(next);
  } else if (Closes(next)) {
    this->Close(next);
  } else if (next == ':') {
    this->Expect(Expected::kColon, Expected::kValue);
  } else {
    this->Expect(Expected::kCommaOrEnd, this->frames.back().is_object ? Expected::kKey : Expected::kValue);
  }
}

void ListReader::Expect(Expected expected, Expected next) {
  Frame& frame = this->frames.back();
  if (frame.expected != expected) {
    this->Fail("commas and colons between values only");
  }
  frame.expected = next;
}

void ListReader::BeginToken(Token kind) {
  if (this->frames.empty()) {
    this->Fail("one JSON object");
  }
  const Frame& frame = this->frames.back();
  const bool is_key = frame.is_object && (frame.expected == Expected::kFirst || frame.expected == Expected::kKey);
  const Selection* kept = is_key ? nullptr : this->BeginValue();
  this->token = kind;
  this->token_kept = is_key || kept != nullptr;
  this->token_limit = kept != nullptr && kept->kind == SelectionKind::kWhole ? kMaxWholeBytes : kMaxScalarBytes;
  this->token_too_long = false;
  this->token_text.clear();
  if (kind == Token::kString) {
    this->token_text += kQuote;
  }
}

void ListReader::EndToken() {
  const bool is_string = std::exchange(this->token, Token::kNone) == Token::kString;
  if (this->skipped_depth > 0) {
    return;
  }
  const Frame& frame = this->frames.back();
  if (frame.is_object && (frame.expected == Expected::kFirst || frame.expected == Expected::kKey)) {
    if (!is_string) {
      this->Fail("a key");
    }
    this->EndKey();
  } else {
    this->EndScalar();
  }
}

void ListReader::EndKey() {
  Frame& frame = this->frames.back();
  frame.expected = Expected::kColon;
  frame.value = nullptr;
  if (this->token_too_long) {
    return;
  }
  this->key = this->token_text;
  if (frame.selection->kind == SelectionKind::kWhole) {
    frame.value = frame.selection;
    return;
  }
  const std::vector<SelectedMember>& members = frame.selection->members;
  const std::string name = DecodeKey(this->key);
  const auto found = std::find_if(members.begin(), members.end(), [&name](const auto& m) { return m.name == name; });
  const std::uint64_t bit = std::uint64_t{1} << static_cast<unsigned>(found - members.begin());
  if (found != members.end() && (frame.seen & bit) == 0) {
    frame.seen |= bit;
    frame.value = &found->value;
  }
}

void ListReader::EndScalar() {
  if (this->token_kept && this->token_too_long) {
    this->WriteNull();
  } else if (this->token_kept) {
    this->WriteSeparator();
    *this->output += this->token_text;
  }
  if (this->whole_frame > 0 && this->output->size() - this->whole_begin > kMaxWholeBytes) {
    this->DropWholeValue();
    return;
  }
  this->EndValue();
}

const Selection* ListReader::BeginValue() {
  Frame& frame = this->frames.back();
  const bool first_element = !frame.is_object && frame.expected == Expected::kFirst;
  if (frame.expected != Expected::kValue && !first_element) {
    this->Fail("commas and colons between values");
  }
  frame.expected = Expected::kCommaOrEnd;
  if (this->whole_frame > 0 && ++this->whole_values > kMaxWholeValues) {
    this->DropWholeValue();
    return nullptr;
  }
  if (frame.is_object) {
    return frame.value;
  }
  if (frame.selection->kind == SelectionKind::kElements) {
    this->output = &this->element_text;
    return &frame.selection->members.front().value;
  }
  return frame.selection;
}

void ListReader::Open(char bracket) {
  if (this->frames.empty()) {
    this->frames.push_back({&this->selection, /*is_object=*/true});
    *this->output += bracket;
    return;
  }
  const bool is_object = bracket == '{';
  const Selection* kept = this->BeginValue();
  if (kept == nullptr || !this->KeepsContainer(*kept, is_object)) {
    if (kept != nullptr) {
      this->WriteNull();
    }
    ++this->skipped_depth;
    return;
  }
  this->WriteSeparator();
  if (kept->kind == SelectionKind::kElements) {
    this->list = DecodeKey(this->key);
  } else if (kept->kind == SelectionKind::kWhole && this->whole_frame == 0) {
    this->whole_frame = this->frames.size();
    this->whole_begin = this->output->size();
  }
  this->whole_values += this->whole_frame > 0 ? 1 : 0;
  this->frames.push_back({kept, is_object});
  *this->output += bracket;
}

bool ListReader::KeepsContainer(const Selection& kept, bool is_object) const {
  switch (kept.kind) {
    case SelectionKind::kWhole:
      return this->frames.size() < kMaxNesting;
    case SelectionKind::kMembers:
      return is_object;
    case SelectionKind::kElements:
      return !is_object && this->frames.size() == 1;
    default:
      return false;
  }
}

void ListReader::Close(char bracket) {
  const Frame& frame = this->frames.back();
  const bool at_end = frame.expected == Expected::kFirst || frame.expected == Expected::kCommaOrEnd;
  if (frame.is_object != (bracket == '}') || !at_end) {
    this->Fail("each bracket closed in its turn");
  }
  *this->output += bracket;
  this->frames.pop_back();
  if (this->whole_frame == this->frames.size()) {
    this->whole_frame = 0;
  }
  if (this->frames.empty()) {
    this->complete = true;
  } else {
    this->EndValue();
  }
}

void ListReader::WriteSeparator() {
  Frame& frame = this->frames.back();
  if (frame.selection->kind == SelectionKind::kElements) {
    return;
  }
  if (!std::exchange(frame.is_empty, false)) {
    *this->output += ',';
  }
  if (frame.is_object) {
    *this->output += this->key;
    *this->output += ':';
  }
}

void ListReader::WriteNull() {
  this->WriteSeparator();
  *this->output += kNull;
}

void ListReader::DropWholeValue() {
  this->output->resize(this->whole_begin);
  *this->output += kNull;
  this->skipped_depth = this->frames.size() - this->whole_frame;
  this->frames.erase(this->frames.begin() + static_cast<std::ptrdiff_t>(this->whole_frame), this->frames.end());
  this->whole_frame = 0;
}

void ListReader::EndValue() {
  if (this->frames.back().selection->kind != SelectionKind::kElements) {
    return;
  }
  this->output = &this->document_text;
  const std::string text = std::exchange(this->element_text, {});
  this->whole_values = 0;
  this->on_element(this->list, ParseSharedDocument(text, this->document));
}

void ListReader::Fail(const char* expected) const { throw ParseError(this->document, "", expected); }

}  // namespace amaranthlane::json
