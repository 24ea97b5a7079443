#include "common/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace amaranthlane::json {

namespace {

constexpr char kQuote = '"';
constexpr std::string_view kNull = "null";
constexpr std::string_view kUnreadableString = "\"?\"";
constexpr std::string_view kBlanks = " \t\r\n";
constexpr std::string_view kWordEnds = " \t\r\n,:[]{}\"";

bool Opens(char character) { return character == '[' || character == '{'; }

bool Closes(char character) { return character == ']' || character == '}'; }

// The position after the string whose opening quote is at `begin`; npos if the string doesn't end.
std::size_t StringEnd(std::string_view text, std::size_t begin) {
  std::size_t position = begin + 1;
  while (position < text.size() && text[position] != kQuote) {
    position += text[position] == '\\' ? 2 : 1;
  }
  return position < text.size() ? position + 1 : std::string_view::npos;
}

// The position after the array or object whose opening bracket is at `begin`; npos if it doesn't end.
std::size_t StructureEnd(std::string_view text, std::size_t begin) {
  std::size_t depth = 0;
  std::size_t position = begin;
  while (position < text.size()) {
    if (text[position] == kQuote) {
      position = StringEnd(text, position);
      continue;
    }
    depth += Opens(text[position]) ? 1 : 0;
    depth -= Closes(text[position]) ? 1 : 0;
    ++position;
    if (depth == 0) {
      return position;
    }
  }
  return std::string_view::npos;
}

bool IsPrintableAscii(char character) {
  constexpr char kFirst = ' ';
  constexpr char kLast = '~';
  return character >= kFirst && character <= kLast;
}

std::string ReadableString(std::string_view text) {
  if (nlohmann::json::accept(text)) {
    return std::string(text);
  }
  std::string readable(text);
  std::replace_if(
      readable.begin(), readable.end(), [](char character) { return !IsPrintableAscii(character); }, '?');
  return nlohmann::json::accept(readable) ? readable : std::string(kUnreadableString);
}

}  // namespace

bool ExceedsParsingLimits(std::string_view text) {
  std::size_t depth = 0;
  std::size_t values = 0;
  std::size_t position = 0;
  while (position < text.size()) {
    const char next = text[position];
    if (next == kQuote) {
      position = StringEnd(text, position);
      continue;
    }
    if (Opens(next) && ++depth > kMaxNesting) {
      return true;
    }
    values += Opens(next) || next == ',' ? 1 : 0;
    if (values > kMaxValues) {
      return true;
    }
    depth -= Closes(next) && depth > 0 ? 1 : 0;
    ++position;
  }
  return false;
}

std::string ReplaceUnreadableValues(std::string_view text) {
  std::string readable;
  readable.reserve(text.size());
  std::size_t depth = 0;
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t begin = position;
    const char next = text[begin];
    if (next == kQuote) {
      position = StringEnd(text, begin);
      const std::string_view string = text.substr(begin, position - begin);
      readable += position == std::string_view::npos ? std::string(string) : ReadableString(string);
    } else if (Opens(next) && depth == kMaxNesting) {
      position = StructureEnd(text, begin);
      readable += position == std::string_view::npos ? "" : kNull;
    } else if (kWordEnds.find(next) != std::string_view::npos) {
      depth += Opens(next) ? 1 : 0;
      depth -= Closes(next) && depth > 0 ? 1 : 0;
      ++position;
      readable += next;
    } else {
      position = std::min(text.find_first_of(kWordEnds, begin), text.size());
      const std::string_view word = text.substr(begin, position - begin);
      readable += nlohmann::json::accept(word) ? word : kNull;
    }
  }
  return readable;
}

bool IsObjectText(std::string_view text) {
  const std::size_t start = text.find_first_not_of(kBlanks);
  return start != std::string_view::npos && text[start] == '{' && nlohmann::json::accept(text);
}

std::string QuoteJson(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace amaranthlane::json
