#ifndef AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_
#define AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_

#include <cstdint>

#include "common/error.h"

namespace amaranthlane::sessions {

// The root of all failures to read or change a session token. HTTP status 400.
class TokenError : public Error {
 public:
  using Error::Error;
};

// The text isn't URL-safe base64 without padding.
class TokenEncodingError : public TokenError {
 public:
  TokenEncodingError();
};

// The token is of a version that this program doesn't know.
class TokenVersionError : public TokenError {
 public:
  explicit TokenVersionError(std::uint8_t version);
  std::uint8_t version;
};

// The token was damaged on its way.
class TokenChecksumError : public TokenError {
 public:
  TokenChecksumError();
};

// The token's content isn't well-formed, or what is to go into it isn't.
class TokenFormatError : public TokenError {
 public:
  TokenFormatError();
};

}  // namespace amaranthlane::sessions

#endif  // AMARANTHLANE_CORE_SESSIONS_SESSION_ERRORS_H_
