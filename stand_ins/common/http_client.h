#ifndef AMARANTHLANE_STAND_INS_COMMON_HTTP_CLIENT_H_
#define AMARANTHLANE_STAND_INS_COMMON_HTTP_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace amaranthlane::stand_ins {

// The answer to a request of a client.
struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

// One connection to a server, over which one GET request runs at a time. Any failure leaves it unusable.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  // Is called without an answer when the request failed or timed out.
  using Handler = std::function<void(const std::optional<HttpResponse>&)>;

  // Connects from the IP number `source`; unspecified: from any.
  HttpClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
             boost::asio::ip::address source_address = {});

  // Sends a request and connects first where needed. `timeout` counts from now and for the connect anew.
  void Get(const std::string& target, std::chrono::milliseconds timeout, Handler handler);
  // Closes the connection. No handler is called any more.
  void Cancel();

 private:
  void BindSource();
  void Write();
  void Finish(boost::system::error_code error);

  boost::beast::tcp_stream stream;
  boost::asio::ip::tcp::endpoint server;
  boost::asio::ip::address source_address;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::empty_body> request;
  boost::beast::http::response<boost::beast::http::string_body> response;
  std::chrono::milliseconds timeout{0};
  Handler handler;
  bool connected = false;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_HTTP_CLIENT_H_
