#ifndef AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_
#define AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_

#include <cstdint>

#include "common/error.h"

namespace amaranthlane::sessions {

// Base class of the errors in reading or changing a session token. HTTP status 400.
class TokenError : public Error {
 public:
  using Error::Error;
};

// The text isn't URL-safe base64 without padding.
class TokenEncodingError : public TokenError {
 public:
  TokenEncodingError();
};

// The token has an unknown format version.
class TokenVersionError : public TokenError {
 public:
  explicit TokenVersionError(std::uint8_t version);
  std::uint8_t version;
};

// The token's checksum doesn't match its content.
class TokenChecksumError : public TokenError {
 public:
  TokenChecksumError();
};

// The token's content is malformed, or the name of a group to be merged into it is invalid.
class TokenFormatError : public TokenError {
 public:
  TokenFormatError();
};

}  // namespace amaranthlane::sessions

#endif  // AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_
