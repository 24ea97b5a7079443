#ifndef AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_
#define AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace amaranthlane::sessions {

// Maximum number of groups in a token. When a further group is merged, the least recently merged one is dropped.
inline constexpr std::size_t kMaxTokenGroups = 16;
// Maximum length of a group's name in a token, in bytes.
inline constexpr std::size_t kMaxGroupNameLength = 64;

// The log position that a caller's session has reached in one group.
struct GroupPosition {
  GroupName group;
  LogPosition position;

  bool operator==(const GroupPosition&) const = default;
};

// The log positions that a caller's session has reached, by group. The caller keeps the token as an opaque text and
// sends it with its requests, so that any entry VM can honour it without a shared store.
class SessionToken {
 public:
  // Parses the output of Encode(). An empty text is an empty token. Throws a subclass of TokenError: TokenEncodingError
  // (not base64), TokenVersionError, TokenChecksumError (damaged) or TokenFormatError (malformed content).
  static SessionToken Parse(std::string_view text);

  // The token as URL-safe base64 text without padding.
  std::string Encode() const;
  // Raises the position of `group`. A lower position leaves it as it is, but still makes the group the most recently
  // merged one. Throws TokenFormatError when the name is empty or longer than kMaxGroupNameLength.
  void Merge(std::string_view group, const LogPosition& position);
  // Merges every position of `other`.
  void Merge(const SessionToken& other);
  // The position that reads of `group` must cover; none if the token has no position for the group.
  std::optional<LogPosition> PositionOf(std::string_view group) const;
  // The positions, least recently merged first.
  const std::vector<GroupPosition>& Positions() const;

  bool operator==(const SessionToken&) const = default;

 private:
  std::vector<GroupPosition> positions;
};

}  // namespace amaranthlane::sessions

#endif  // AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_
