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

struct HttpResponse {
  unsigned status = 0;
  std::string body;
};

// One connection to a server that runs one GET request at a time. It is unusable after any failure.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  // Receives the response, or nullopt when the request failed or timed out.
  using Handler = std::function<void(const std::optional<HttpResponse>&)>;

  // Connects from the IP address `source_address`; if it is unspecified, the operating system chooses one.
  HttpClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
             boost::asio::ip::address source_address = {});

  // Sends a request, connecting first if necessary. `timeout` applies separately to the connection setup and to the
  // request.
  void Get(const std::string& target, std::chrono::milliseconds timeout, Handler handler);
  // Closes the connection. The handler of an outstanding request isn't called.
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
