#ifndef AMARANTHLANE_CORE_ACCESS_API_KEY_H_
#define AMARANTHLANE_CORE_ACCESS_API_KEY_H_

#include <compare>
#include <string>
#include <string_view>

#include "common/sha256.h"

// API keys are hashed where they enter the process. Everything else handles digests, so that no message to an endpoint
// or another VM, no log line and no metric can hold a key.
namespace amaranthlane::access {

// The SHA-256 digest of an API key. Comparing digests reveals nothing about a key, since a caller can't choose the
// digest of a guess.
class KeyDigest {
 public:
  explicit KeyDigest(const Sha256Digest& digest);

  // The linter mistakes the zero of a rewritten comparison for a null pointer.
  std::strong_ordering operator<=>(const KeyDigest&) const = default;  // NOLINT(modernize-use-nullptr)

  const Sha256Digest& Bytes() const;

 private:
  Sha256Digest digest;
};

KeyDigest HashKey(std::string_view key);

// 64 lower-case hexadecimal digits.
std::string FormatKeyDigest(const KeyDigest& digest);
// Throws ParseError.
KeyDigest ParseKeyDigest(std::string_view digits);

// What a VM that relays a session sends in place of the key.
std::string RelayedCredential(const KeyDigest& digest);
// Parses what RelayedCredential() returns. Any other text is a key, as VMs of earlier builds relay it. Must not be used
// for what a caller sends: a caller that knows a digest would pass for the owner of the key.
KeyDigest ParseRelayedCredential(std::string_view credential);

}  // namespace amaranthlane::access

#endif  // AMARANTHLANE_CORE_ACCESS_API_KEY_H_
