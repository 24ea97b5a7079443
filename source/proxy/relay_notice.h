#ifndef AMARANTHLANE_PROXY_RELAY_NOTICE_H_
#define AMARANTHLANE_PROXY_RELAY_NOTICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// The notice by which the VM that relays a session and the session's gateway tell each other of a newer configuration,
// so that neither serves a request by an older one than the other has already used. It is sent between two messages of
// the session, in either direction, and isn't passed on to the caller.
namespace amaranthlane::proxy {

// A version of the configuration, and the address at which a VM that has it serves its peers.
struct KnownConfiguration {
  std::uint64_t version = 0;
  std::string address;
};

std::string EncodeRelayNotice(const KnownConfiguration& known);

// True when the bytes begin with a notice or a part of one. No valid message of a session begins so, and a relaying VM
// forwards no other one that does, so that no bytes of a caller pass for a notice.
bool BeginsWithRelayNotice(std::string_view bytes);

// The length of the notice with which the bytes begin, in bytes; 0 while it is incomplete.
std::size_t RelayNoticeLength(std::string_view bytes);

// Throws ParseError.
KnownConfiguration ParseRelayNotice(std::string_view notice);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_RELAY_NOTICE_H_
