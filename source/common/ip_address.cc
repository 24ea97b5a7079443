#include "common/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>

namespace amaranthlane {

namespace {

bool IsPort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  return error == std::errc() && end == text.data() + text.size() && port != 0;
}

bool IsIpOfFamily(std::string_view text, int family) {
  // inet_pton would stop at an embedded null byte and accept the text before it.
  if (std::find(text.begin(), text.end(), '\0') != text.end()) {
    return false;
  }
  in6_addr address{};
  return inet_pton(family, std::string(text).c_str(), &address) == 1;
}

}  // namespace

bool IsIpAddress(std::string_view text) { return IsIpOfFamily(text, AF_INET) || IsIpOfFamily(text, AF_INET6); }

bool IsIpAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string_view ip = text.substr(0, colon);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    return IsIpOfFamily(ip.substr(1, ip.size() - 2), AF_INET6);
  }
  return IsIpOfFamily(ip, AF_INET);
}

}  // namespace amaranthlane
