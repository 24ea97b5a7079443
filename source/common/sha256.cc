#include "common/sha256.h"

#include <openssl/sha.h>

#include <cstddef>

#include "common/error.h"

namespace amaranthlane {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

std::uint8_t ParseHexDigit(char digit) {
  const std::size_t value = kHexDigits.find(digit);
  if (value == std::string_view::npos) {
    throw ParseError("SHA-256 hash", "", "64 lower-case hexadecimal digits");
  }
  return static_cast<std::uint8_t>(value);
}

}  // namespace

Sha256Digest Sha256(std::string_view bytes) {
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), digest.data());
  return digest;
}

Sha256Digest ParseSha256(std::string_view digits) {
  Sha256Digest digest{};
  if (digits.size() != 2 * digest.size()) {
    throw ParseError("SHA-256 hash", "", "64 lower-case hexadecimal digits");
  }
  for (std::size_t i = 0; i < digest.size(); ++i) {
    digest[i] = static_cast<std::uint8_t>(ParseHexDigit(digits[2 * i]) << 4U | ParseHexDigit(digits[2 * i + 1]));
  }
  return digest;
}

}  // namespace amaranthlane
