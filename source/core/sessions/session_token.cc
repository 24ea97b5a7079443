#include "core/sessions/session_token.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>

#include "core/sessions/base64_url.h"
#include "core/sessions/session_errors.h"

// Binary layout of a token, with sizes in bytes: version (1), number of groups (1); for each group the length of its
// name (1), its name, and its term and offset as base-128 varints, least significant bits first; the XXH3 hash of all
// preceding bytes (8, little-endian).
namespace amaranthlane::sessions {

namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kChecksumSize = 8;
constexpr std::size_t kHeaderSize = 2;
constexpr int kVarintBitsPerByte = 7;
constexpr std::uint8_t kVarintContinuationBit = 0x80;
constexpr int kUint64Bits = 64;
// Maximum size of a token, in bytes and as text. The two varints of a position take up to 10 bytes each. Longer texts
// are rejected before decoding.
constexpr std::size_t kMaxTokenSize = kHeaderSize + kMaxTokenGroups * (1 + kMaxGroupNameLength + 20) + kChecksumSize;
constexpr std::size_t kMaxTextLength = (kMaxTokenSize * 4 + 2) / 3;

std::uint64_t Checksum(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

void AppendVarint(std::uint64_t number, std::string& bytes) {
  while (number >= kVarintContinuationBit) {
    bytes.push_back(static_cast<char>(number | kVarintContinuationBit));
    number >>= kVarintBitsPerByte;
  }
  bytes.push_back(static_cast<char>(number));
}

// Reads the payload of a token sequentially.
class PayloadReader {
 public:
  explicit PayloadReader(std::string_view payload) : remaining(payload) {}

  std::uint8_t ReadByte() { return static_cast<std::uint8_t>(this->ReadBytes(1).front()); }

  std::string_view ReadBytes(std::size_t count) {
    if (count > this->remaining.size()) {
      throw TokenFormatError();
    }
    const std::string_view bytes = this->remaining.substr(0, count);
    this->remaining.remove_prefix(count);
    return bytes;
  }

  std::uint64_t ReadVarint() {
    std::uint64_t number = 0;
    for (int shift = 0; shift < kUint64Bits; shift += kVarintBitsPerByte) {
      const std::uint8_t byte = this->ReadByte();
      const std::uint64_t part = byte & (kVarintContinuationBit - 1U);
      if ((part << shift) >> shift != part) {
        throw TokenFormatError();
      }
      number |= part << shift;
      if ((byte & kVarintContinuationBit) == 0) {
        return number;
      }
    }
    throw TokenFormatError();
  }

  bool AtEnd() const { return this->remaining.empty(); }

 private:
  std::string_view remaining;
};

std::uint64_t ReadChecksum(std::string_view bytes) {
  std::uint64_t checksum = 0;
  for (std::size_t index = kChecksumSize; index-- > 0;) {
    checksum = (checksum << 8) | static_cast<std::uint8_t>(bytes[index]);
  }
  return checksum;
}

// Verifies the version and the checksum, and returns the payload between them.
std::string_view VerifiedPayload(std::string_view bytes) {
  if (bytes.size() < kHeaderSize + kChecksumSize) {
    throw TokenFormatError();
  }
  const auto version = static_cast<std::uint8_t>(bytes.front());
  if (version != kVersion) {
    throw TokenVersionError(version);
  }
  const std::string_view covered = bytes.substr(0, bytes.size() - kChecksumSize);
  if (Checksum(covered) != ReadChecksum(bytes.substr(covered.size()))) {
    throw TokenChecksumError();
  }
  return covered.substr(1);
}

void CheckGroupName(std::string_view group) {
  if (group.empty() || group.size() > kMaxGroupNameLength) {
    throw TokenFormatError();
  }
}

}  // namespace

SessionToken SessionToken::Parse(std::string_view text) {
  SessionToken token;
  if (text.empty()) {
    return token;
  }
  if (text.size() > kMaxTextLength) {
    throw TokenFormatError();
  }
  const std::string bytes = DecodeBase64Url(text);
  PayloadReader reader(VerifiedPayload(bytes));
  const std::size_t count = reader.ReadByte();
  if (count > kMaxTokenGroups) {
    throw TokenFormatError();
  }
  for (std::size_t index = 0; index < count; ++index) {
    const std::string_view group = reader.ReadBytes(reader.ReadByte());
    CheckGroupName(group);
    if (token.PositionOf(group)) {
      throw TokenFormatError();
    }
    const std::uint64_t term = reader.ReadVarint();
    const std::uint64_t offset = reader.ReadVarint();
    token.positions.push_back({.group = std::string(group), .position = {.term = term, .offset = offset}});
  }
  if (!reader.AtEnd()) {
    throw TokenFormatError();
  }
  return token;
}

std::string SessionToken::Encode() const {
  std::string bytes;
  bytes.push_back(static_cast<char>(kVersion));
  bytes.push_back(static_cast<char>(this->positions.size()));
  for (const GroupPosition& entry : this->positions) {
    bytes.push_back(static_cast<char>(entry.group.size()));
    bytes += entry.group;
    AppendVarint(entry.position.term, bytes);
    AppendVarint(entry.position.offset, bytes);
  }
  std::uint64_t checksum = Checksum(bytes);
  for (std::size_t index = 0; index < kChecksumSize; ++index) {
    bytes.push_back(static_cast<char>(checksum & 0xff));
    checksum >>= 8;
  }
  return EncodeBase64Url(bytes);
}

void SessionToken::Merge(std::string_view group, const LogPosition& position) {
  CheckGroupName(group);
  GroupPosition merged{.group = std::string(group), .position = position};
  const auto found = std::find_if(this->positions.begin(), this->positions.end(),
                                  [&](const GroupPosition& entry) { return entry.group == group; });
  if (found != this->positions.end()) {
    merged.position = std::max(found->position, position);
    this->positions.erase(found);
  } else if (this->positions.size() == kMaxTokenGroups) {
    this->positions.erase(this->positions.begin());
  }
  this->positions.push_back(std::move(merged));
}

void SessionToken::Merge(const SessionToken& other) {
  for (const GroupPosition& entry : other.positions) {
    this->Merge(entry.group, entry.position);
  }
}

std::optional<LogPosition> SessionToken::PositionOf(std::string_view group) const {
  for (const GroupPosition& entry : this->positions) {
    if (entry.group == group) {
      return entry.position;
    }
  }
  return std::nullopt;
}

const std::vector<GroupPosition>& SessionToken::Positions() const { return this->positions; }

}  // namespace amaranthlane::sessions
