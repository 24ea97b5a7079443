#ifndef AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_
#define AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

namespace amaranthlane::sessions {

// The most groups that one token holds. Beyond it the group that was merged longest ago is dropped.
inline constexpr std::size_t kMaxTokenGroups = 16;
// The longest name of a group in a token, in bytes.
inline constexpr std::size_t kMaxGroupNameLength = 64;

// What a caller has seen of one group.
struct GroupPosition {
  GroupName group;
  LogPosition position;

  bool operator==(const GroupPosition&) const = default;
};

// The positions that a caller's session has reached, group by group. The caller carries it as an opaque text, so that
// any entry VM can honour it without a shared store.
class SessionToken {
 public:
  // Reads the text that Encode gave. An empty text is an empty token. Throws a class below TokenError:
  // TokenEncodingError (not base64), TokenVersionError, TokenChecksumError (damaged) or TokenFormatError (its content
  // isn't well-formed).
  static SessionToken Parse(std::string_view text);

  // The token as URL-safe base64 text without padding.
  std::string Encode() const;
  // Raises the position of `group`; a lower one changes nothing but counts as use.
  // Throws TokenFormatError when the name is empty or longer than kMaxGroupNameLength.
  void Merge(std::string_view group, const LogPosition& position);
  // Merges every position of `other`.
  void Merge(const SessionToken& other);
  // The position that reads of `group` must cover; nothing if the session hasn't touched the group.
  std::optional<LogPosition> PositionOf(std::string_view group) const;
  // The positions, the most recently merged last.
  const std::vector<GroupPosition>& Positions() const;

  bool operator==(const SessionToken&) const = default;

 private:
  std::vector<GroupPosition> positions;
};

}  // namespace amaranthlane::sessions

#endif  // AMARANTHLANE_CORE_SESSIONS_SESSION_TOKEN_H_
