#ifndef AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_
#define AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthlane::stand_ins {

// The target of an HTTP request: its path, and its query read on demand. Views point into the request.
class HttpTarget {
 public:
  explicit HttpTarget(std::string_view target);

  // The decoded value of a query parameter, if it is there.
  std::optional<std::string> Text(std::string_view name) const;
  // Throws ParseError when the parameter is there and isn't a whole number.
  std::optional<std::uint64_t> Number(std::string_view name) const;
  // A whole number of milliseconds, or zero when the parameter is absent. Throws ParseError as above.
  std::chrono::milliseconds Milliseconds(std::string_view name) const;
  // The parts of the path between slashes, decoded.
  std::vector<std::string> PathSegments() const;

  std::string_view path;
  std::string_view query;
};

// Decodes %XX. Throws ParseError on a broken escape.
std::string DecodePercent(std::string_view text);

// Splits `text` at each `separator`. Empty parts are left out.
std::vector<std::string> Split(std::string_view text, char separator);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_HTTP_TARGET_H_
