#include "net/raw_peer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace amaranthlane::net::testing {

RawPeer::RawPeer(boost::asio::io_context& loop, const Address& address) : socket(loop) {
  this->socket.connect({boost::asio::ip::make_address(address.ip), address.port});
}

RawPeer::RawPeer(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

void RawPeer::Send(std::string_view bytes) {
  boost::asio::write(this->socket, boost::asio::buffer(bytes.data(), bytes.size()));
}

std::string RawPeer::Received() {
  std::string bytes(this->socket.available(), '\0');
  if (!bytes.empty()) {
    bytes.resize(this->socket.read_some(boost::asio::buffer(bytes)));
  }
  return bytes;
}

bool RawPeer::AtEnd() {
  char byte = 0;
  boost::system::error_code error;
  this->socket.non_blocking(true);
  this->socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  this->socket.non_blocking(false);
  return error && error != boost::asio::error::would_block;
}

}  // namespace amaranthlane::net::testing
