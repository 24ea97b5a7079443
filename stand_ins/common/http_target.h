#ifndef AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_
#define AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthlane::stand_ins {

// The target of an HTTP request: its path, and its query, whose parameters are parsed on access. Holds views into the
// request.
class HttpTarget {
 public:
  explicit HttpTarget(std::string_view target);

  // The decoded value of a query parameter, or nullopt when it is absent.
  std::optional<std::string> Text(std::string_view name) const;
  // Nullopt when the parameter is absent. Throws ParseError when it isn't a whole number.
  std::optional<std::uint64_t> Number(std::string_view name) const;
  // A whole number of milliseconds up to one hour, zero when the parameter is absent. Throws ParseError.
  std::chrono::milliseconds Milliseconds(std::string_view name) const;
  // The decoded path segments.
  std::vector<std::string> PathSegments() const;

  std::string_view path;
  std::string_view query;
};

// Decodes percent-encoded text. Throws ParseError on an invalid escape sequence.
std::string DecodePercent(std::string_view text);

// Splits `text` at each `separator` and omits empty parts.
std::vector<std::string> Split(std::string_view text, char separator);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_
