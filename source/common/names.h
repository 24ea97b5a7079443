#ifndef AMARANTHLANE_COMMON_NAMES_H_
#define AMARANTHLANE_COMMON_NAMES_H_

#include <string>
#include <string_view>

namespace amaranthlane {

inline constexpr const char* kNameFormat = "1 to 63 characters of a-z, 0-9, '-', '.' and '_'";

// True for a valid name of an object, group, caller, kind of work, label or data centre.
bool IsValidName(std::string_view text);

// Returns `text` if it is a valid name; otherwise throws ParseError with `document` and `key`.
std::string RequireName(std::string text, const char* document, const char* key);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_NAMES_H_
