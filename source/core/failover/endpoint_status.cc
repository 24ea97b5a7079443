#include "core/failover/endpoint_status.h"

#include "common/sha256.h"

namespace amaranthlane::failover {

namespace {

// Digests are compared among a few directories only, so a part of the hash is enough.
constexpr std::size_t kDigestBytes = 8;

}  // namespace

std::string DirectoryDigest(const EndpointDirectory& directory) {
  std::string text;
  for (const auto& [name, entry] : directory) {
    text += name + " " + entry.group + " " + entry.address + " " + std::to_string(entry.slots) +
            (entry.draining ? " draining\n" : "\n");
  }
  const Sha256Digest hash = Sha256(text);
  std::uint64_t digest = 0;
  for (std::size_t index = 0; index < kDigestBytes; ++index) {
    digest = (digest << 8U) | hash.at(index);
  }
  return std::to_string(digest);
}

}  // namespace amaranthlane::failover
