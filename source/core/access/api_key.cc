#include "core/access/api_key.h"

#include "common/error.h"

namespace amaranthlane::access {

namespace {

constexpr std::string_view kDigestPrefix = "sha256:";

}  // namespace

KeyDigest::KeyDigest(const Sha256Digest& digest) : digest(digest) {}

const Sha256Digest& KeyDigest::Bytes() const { return this->digest; }

KeyDigest HashKey(std::string_view key) { return KeyDigest(Sha256(key)); }

std::string FormatKeyDigest(const KeyDigest& digest) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBitsPerDigit = 4;
  constexpr unsigned kDigitMask = 0xf;
  std::string text;
  text.reserve(digest.Bytes().size() * 2);
  for (const std::uint8_t byte : digest.Bytes()) {
    text += kDigits[byte >> kBitsPerDigit];
    text += kDigits[byte & kDigitMask];
  }
  return text;
}

KeyDigest ParseKeyDigest(std::string_view digits) { return KeyDigest(ParseSha256(digits)); }

std::string RelayedCredential(const KeyDigest& digest) { return std::string(kDigestPrefix) + FormatKeyDigest(digest); }

KeyDigest ParseRelayedCredential(std::string_view credential) {
  if (credential.starts_with(kDigestPrefix)) {
    try {
      return ParseKeyDigest(credential.substr(kDigestPrefix.size()));
    } catch (const ParseError&) {
      // A key that only begins like a digest.
      return HashKey(credential);
    }
  }
  return HashKey(credential);
}

}  // namespace amaranthlane::access
