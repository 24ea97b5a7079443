#include "proxy/relay_notice.h"

#include <sstream>

#include "common/error.h"
#include "common/ip_address.h"

namespace amaranthlane::proxy {

namespace {

constexpr char kMark = '\x02';
constexpr char kEnd = '\n';

}  // namespace

std::string EncodeRelayNotice(const KnownConfiguration& known) {
  return kMark + std::to_string(known.version) + " " + known.address + kEnd;
}

bool BeginsWithRelayNotice(std::string_view bytes) { return !bytes.empty() && bytes.front() == kMark; }

std::size_t RelayNoticeLength(std::string_view bytes) {
  const std::size_t end = bytes.find(kEnd);
  return end == std::string_view::npos ? 0 : end + 1;
}

KnownConfiguration ParseRelayNotice(std::string_view notice) {
  if (!BeginsWithRelayNotice(notice)) {
    throw ParseError("relay notice", "mark", "the first byte of a notice");
  }
  KnownConfiguration known;
  std::istringstream fields{std::string(notice.substr(1))};
  fields >> known.version >> known.address;
  if (fields.fail() || known.version == 0) {
    throw ParseError("relay notice", "version", "a positive number and an address");
  }
  if (!IsIpAndPort(known.address)) {
    throw ParseError("relay notice", "address", "ip:port");
  }
  return known;
}

}  // namespace amaranthlane::proxy
