#ifndef AMARANTHLANE_CORE_SESSIONS_BASE64_URL_H_
#define AMARANTHLANE_CORE_SESSIONS_BASE64_URL_H_

#include <string>
#include <string_view>

// URL-safe base64 without padding, as in RFC 4648, section 5.
namespace amaranthlane::sessions {

std::string EncodeBase64Url(std::string_view bytes);
// Throws TokenEncodingError when `text` has a character outside the alphabet, an impossible length or non-zero unused
// bits at its end.
std::string DecodeBase64Url(std::string_view text);

}  // namespace amaranthlane::sessions

#endif  // AMARANTHLANE_CORE_SESSIONS_BASE64_URL_H_
