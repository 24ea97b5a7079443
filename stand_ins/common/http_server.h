#ifndef AMARANTHLANE_STAND_INS_COMMON_HTTP_SERVER_H_
#define AMARANTHLANE_STAND_INS_COMMON_HTTP_SERVER_H_

#include <cstdint>
#include <string>

#include "stand_ins/common/http_connection.h"

namespace amaranthlane::stand_ins {

// Accepts the HTTP connections of one listening port. Everything runs on the single thread of the io_context.
class HttpServer {
 public:
  // Starts listening. Throws boost::system::system_error when the address can't be bound. If `settings` has no
  // executor, the server uses one that is never frozen.
  HttpServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, ServerSettings settings);

 private:
  void Accept();

  FreezableExecutor default_executor;
  ServerSettings settings;
  boost::asio::ip::tcp::acceptor acceptor;
  std::uint64_t next_id = 1;
};

// Parses `ip:port`. Throws AddressError.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_HTTP_SERVER_H_
