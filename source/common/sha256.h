#ifndef AMARANTHLANE_COMMON_SHA256_H_
#define AMARANTHLANE_COMMON_SHA256_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace amaranthlane {

using Sha256Digest = std::array<std::uint8_t, 32>;

// Hashes the bytes with SHA-256.
Sha256Digest Sha256(std::string_view bytes);

// Parses 64 lower-case hexadecimal digits. Throws ParseError.
Sha256Digest ParseSha256(std::string_view digits);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_SHA256_H_
