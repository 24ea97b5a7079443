#include "stand_ins/common/http_server.h"

#include <charconv>

#include "stand_ins/common/errors.h"

namespace amaranthlane::stand_ins {

HttpServer::HttpServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                       ServerSettings settings)
    : settings(std::move(settings)), acceptor(io, address, /*reuse_addr=*/true) {
  if (this->settings.executor == nullptr) {
    this->settings.executor = &this->default_executor;
  }
  this->Accept();
}

void HttpServer::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) {
      return;
    }
    if (!error) {
      std::make_shared<HttpConnection>(this->next_id, std::move(socket), this->settings)->Start();
      ++this->next_id;
    }
    this->Accept();
  });
}

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw AddressError(text);
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, port);
  if (error || failure != std::errc() || stop != end) {
    throw AddressError(text);
  }
  return {ip, port};
}

}  // namespace amaranthlane::stand_ins
