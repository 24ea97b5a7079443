#ifndef AMARANTHLANE_COMMON_NAMES_H_
#define AMARANTHLANE_COMMON_NAMES_H_

#include <string>
#include <string_view>

namespace amaranthlane {

inline constexpr const char* kExpectedName = "1 to 63 characters of a-z, 0-9, '-', '.' and '_'";

// True for the names of objects, groups, callers, kinds of work, labels and data centres.
bool IsName(std::string_view text);

// Returns `text`, or throws ParseError with the document and key when it is no name.
std::string RequireName(std::string text, const char* document, const char* key);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_NAMES_H_
