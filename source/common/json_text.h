#ifndef AMARANTHLANE_COMMON_JSON_TEXT_H_
#define AMARANTHLANE_COMMON_JSON_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

// Checks and repairs the text of JSON documents before they are parsed. Works on the tokens of the text, so that the
// depth and the size of a document don't matter.
namespace amaranthlane::json {

// The deepest nesting of arrays and objects that is parsed. Copying, comparing and serializing a parsed document
// recurse into it, so a document that is nested much deeper would exhaust the stack.
constexpr std::size_t kMaxNesting = 64;

// The largest number of values that a document may have, a container counted twice. A parsed value takes some hundred
// bytes, however short its text.
constexpr std::size_t kMaxValues = 1UL << 18U;

// Whether arrays and objects are nested deeper than kMaxNesting, or there are more than kMaxValues values.
bool ExceedsParsingLimits(std::string_view text);

// Replaces each value that can't be represented, and nothing else: arrays and objects beyond kMaxNesting, numbers
// beyond the range of a double and words that aren't JSON become null, and in a string that isn't valid the bytes
// outside printable ASCII become '?'. Returns text that parses if brackets, commas and quotes are in order.
std::string ReplaceUnreadableValues(std::string_view text);

// Whether the text is one JSON object and nothing else, so that it can stand as a member of another document.
bool IsObjectText(std::string_view text);

// The text as a JSON string with its quotes. Bytes that aren't UTF-8 are replaced.
std::string QuoteJson(std::string_view text);

}  // namespace amaranthlane::json

#endif  // AMARANTHLANE_COMMON_JSON_TEXT_H_
