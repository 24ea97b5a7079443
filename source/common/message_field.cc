#include "common/message_field.h"

#include <algorithm>

namespace amaranthlane {

namespace {

constexpr std::size_t kMaxWordBytes = 255;
constexpr char kReplacement = '?';

bool IsControlCharacter(char character) {
  return static_cast<unsigned char>(character) < static_cast<unsigned char>(' ') && character != '\t';
}

bool DividesFields(char character) { return character == ' ' || character == '\t' || IsControlCharacter(character); }

}  // namespace

std::optional<std::size_t> FindControlCharacter(std::string_view text) {
  const auto found = std::find_if(text.begin(), text.end(), IsControlCharacter);
  if (found == text.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - text.begin());
}

bool IsWord(std::string_view text) { return !text.empty() && std::none_of(text.begin(), text.end(), DividesFields); }

std::string RequireWord(std::string text, const char* document, const char* key) {
  if (!IsWord(text) || text.size() > kMaxWordBytes) {
    throw ParseError(document, key, "1 to 255 bytes without blanks or control characters");
  }
  return text;
}

std::string WithoutControlCharacters(std::string_view text) {
  std::string printable(text);
  std::replace_if(printable.begin(), printable.end(), IsControlCharacter, kReplacement);
  return printable;
}

MessageField::MessageField(std::string_view text) : text(text) {}

MessageField MessageField::Word(std::string_view text) {
  if (!IsWord(text)) {
    throw InvalidFieldError("a word of a message is empty, or holds a blank or a control character");
  }
  return MessageField(text);
}

MessageField MessageField::Last(std::string_view text) {
  if (FindControlCharacter(text)) {
    throw InvalidFieldError("the last field of a message holds a control character");
  }
  return MessageField(text);
}

std::string_view MessageField::Text() const { return this->text; }

}  // namespace amaranthlane
