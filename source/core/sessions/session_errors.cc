#include "core/sessions/session_errors.h"

#include <string>

namespace amaranthlane::sessions {

TokenEncodingError::TokenEncodingError() : TokenError("session token isn't URL-safe base64 without padding") {}

TokenVersionError::TokenVersionError(std::uint8_t version)
    : TokenError("unknown version of the session token: " + std::to_string(version)), version(version) {}

TokenChecksumError::TokenChecksumError() : TokenError("checksum of the session token doesn't match its content") {}

TokenFormatError::TokenFormatError() : TokenError("content of the session token is malformed") {}

}  // namespace amaranthlane::sessions
