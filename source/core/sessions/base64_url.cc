#include "core/sessions/base64_url.h"

#include <array>
#include <cstdint>

#include "core/sessions/session_errors.h"

namespace amaranthlane::sessions {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint8_t kInvalid = 0xff;
constexpr int kBitsPerCharacter = 6;
constexpr int kBitsPerByte = 8;

constexpr std::array<std::uint8_t, 256> MakeReverseAlphabet() {
  std::array<std::uint8_t, 256> reverse{};
  reverse.fill(kInvalid);
  for (std::size_t value = 0; value < kAlphabet.size(); ++value) {
    reverse[static_cast<std::uint8_t>(kAlphabet[value])] = static_cast<std::uint8_t>(value);
  }
  return reverse;
}
constexpr std::array<std::uint8_t, 256> kReverseAlphabet = MakeReverseAlphabet();

}  // namespace

std::string EncodeBase64Url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * kBitsPerByte + kBitsPerCharacter - 1) / kBitsPerCharacter);
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char byte : bytes) {
    buffer = (buffer << kBitsPerByte) | static_cast<std::uint8_t>(byte);
    bits += kBitsPerByte;
    while (bits >= kBitsPerCharacter) {
      bits -= kBitsPerCharacter;
      text.push_back(kAlphabet[(buffer >> bits) & 0x3f]);
    }
  }
  if (bits > 0) {
    text.push_back(kAlphabet[(buffer << (kBitsPerCharacter - bits)) & 0x3f]);
  }
  return text;
}

std::string DecodeBase64Url(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size() * kBitsPerCharacter / kBitsPerByte);
  std::uint32_t buffer = 0;
  int bits = 0;
  for (const char character : text) {
    const std::uint8_t value = kReverseAlphabet[static_cast<std::uint8_t>(character)];
    if (value == kInvalid) {
      throw TokenEncodingError();
    }
    buffer = (buffer << kBitsPerCharacter) | value;
    bits += kBitsPerCharacter;
    if (bits >= kBitsPerByte) {
      bits -= kBitsPerByte;
      bytes.push_back(static_cast<char>(buffer >> bits));
    }
  }
  const std::uint32_t trailing_bits = buffer & ((1U << bits) - 1);
  if (bits >= kBitsPerCharacter || trailing_bits != 0) {
    throw TokenEncodingError();
  }
  return bytes;
}

}  // namespace amaranthlane::sessions
