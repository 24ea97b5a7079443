#ifndef AMARANTHLANE_TESTS_INTEGRATION_JSON_CLIENT_H_
#define AMARANTHLANE_TESTS_INTEGRATION_JSON_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "common/error.h"

namespace amaranthlane::testing {

// A call that failed before a complete response was received.
class HttpCallError : public Error {
 public:
  HttpCallError(const std::string& target, boost::system::error_code error);

  bool timed_out;
  // The connection was refused, so the request was not sent.
  bool refused;
};

struct HttpHeader {
  std::string name;
  std::string value;
};

struct HttpResponse {
  // The value of a header; empty when absent.
  std::string Header(const std::string& name) const;

  unsigned status = 0;
  // Null when the response body is not JSON.
  nlohmann::json body;
  // The unparsed body.
  std::string text;
  boost::beast::http::fields headers;
};

// Blocking HTTP client with one keep-alive connection to a server on the loopback interface.
class JsonClient {
 public:
  // Connects on the first call.
  explicit JsonClient(std::uint16_t port, std::chrono::milliseconds timeout = std::chrono::seconds(5));

  // Throws HttpCallError and closes the connection unless a complete response arrives within the timeout. Connecting
  // and the exchange each get the whole timeout.
  HttpResponse Call(const std::string& method, const std::string& target, const nlohmann::json& body = nullptr,
                    const std::vector<HttpHeader>& headers = {});
  HttpResponse Get(const std::string& target);
  HttpResponse Post(const std::string& target, const nlohmann::json& body);
  // Closes the connection; the next call opens a new one.
  void Close();

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  void Connect(const std::string& target);
  Response Exchange(const std::string& target, const Request& request);
  void CloseAndThrowOnError(const std::string& target, boost::system::error_code error);

  std::uint16_t port;
  std::chrono::milliseconds timeout;
  boost::asio::io_context io;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool connected = false;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_JSON_CLIENT_H_
