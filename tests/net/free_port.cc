#include "net/free_port.h"

#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace amaranthlane::testing {

namespace {

constexpr std::uint16_t kFirstPort = 12000;
constexpr std::uint16_t kPortCount = 20000;
constexpr std::uint32_t kPortStride = 97;

bool IsFree(std::uint16_t port) {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::acceptor acceptor(loop);
  boost::system::error_code error;
  const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port);
  acceptor.open(address.protocol());
  acceptor.bind(address, error);
  return !error;
}

}  // namespace

std::uint16_t FreePort() {
  // Test programs that run at the same time start their search at different ports.
  static std::atomic<std::uint32_t> next = static_cast<std::uint32_t>(::getpid()) * kPortStride;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next.fetch_add(1) % kPortCount);
    if (IsFree(port)) {
      return port;
    }
  }
}

std::string LoopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace amaranthlane::testing
