#include "common/names.h"

#include <algorithm>
#include <cstddef>

#include "common/error.h"

namespace amaranthlane {

namespace {

constexpr std::size_t kMaxNameLength = 63;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_';
}

}  // namespace

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), IsNameCharacter);
}

std::string RequireName(std::string text, const char* document, const char* key) {
  if (!IsValidName(text)) {
    throw ParseError(document, key, kNameFormat);
  }
  return text;
}

}  // namespace amaranthlane
