#ifndef AMARANTHLANE_COMMON_MESSAGE_FIELD_H_
#define AMARANTHLANE_COMMON_MESSAGE_FIELD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"

// The text that messages of one line are made of. Readers disagree on which bytes end a line or divide its fields, so
// no field holds any byte that a reader may take for that.
namespace amaranthlane {

// A value that can't be a field of a message.
class InvalidFieldError : public Error {
 public:
  using Error::Error;
};

// Where the first control character other than a tab stands; nullopt if there is none. Bytes above 0x7f are text.
std::optional<std::size_t> FindControlCharacter(std::string_view text);

// True for 1 or more bytes without blanks, tabs and other control characters.
bool IsWord(std::string_view text);

// Returns `text` if it is a word of at most 255 bytes; otherwise throws ParseError with `document` and `key`.
std::string RequireWord(std::string text, const char* document, const char* key);

// The text with '?' in place of each control character.
std::string WithoutControlCharacters(std::string_view text);

// A checked field of a message. It refers to the text that it was made of, and lives no longer than that.
class MessageField {
 public:
  // A field that others follow. Throws InvalidFieldError if `text` isn't a word.
  static MessageField Word(std::string_view text);
  // The last field, which may hold blanks and tabs. Throws InvalidFieldError if `text` holds another control character.
  static MessageField Last(std::string_view text);

  std::string_view Text() const;

 private:
  explicit MessageField(std::string_view text);

  std::string_view text;
};

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_MESSAGE_FIELD_H_
