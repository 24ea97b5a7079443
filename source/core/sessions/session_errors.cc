#include "core/sessions/session_errors.h"

#include <string>

namespace amaranthlane::sessions {

TokenEncodingError::TokenEncodingError() : TokenError("the session token isn't URL-safe base64") {}

TokenVersionError::TokenVersionError(std::uint8_t version)
    : TokenError("the session token has the unknown version " + std::to_string(version)), version(version) {}

TokenChecksumError::TokenChecksumError() : TokenError("the session token is damaged") {}

TokenFormatError::TokenFormatError() : TokenError("the session token isn't well-formed") {}

}  // namespace amaranthlane::sessions
