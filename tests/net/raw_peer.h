#ifndef AMARANTHLANE_TESTS_NET_RAW_PEER_H_
#define AMARANTHLANE_TESTS_NET_RAW_PEER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "net/address.h"

namespace amaranthlane::net::testing {

// A blocking socket on loopback whose bytes a test sees unchanged.
class RawPeer {
 public:
  // Connects to a server.
  RawPeer(boost::asio::io_context& loop, const Address& address);
  // Takes over an accepted connection.
  explicit RawPeer(boost::asio::ip::tcp::socket socket);

  void Send(std::string_view bytes);

  // The bytes that have arrived and weren't returned before. Doesn't wait.
  std::string Received();

  // True if the other side has closed the connection and all its bytes were returned. Doesn't wait.
  bool AtEnd();

 private:
  boost::asio::ip::tcp::socket socket;
};

}  // namespace amaranthlane::net::testing

#endif  // AMARANTHLANE_TESTS_NET_RAW_PEER_H_
