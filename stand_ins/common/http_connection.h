#ifndef AMARANTHLANE_STAND_INS_COMMON_HTTP_CONNECTION_H_
#define AMARANTHLANE_STAND_INS_COMMON_HTTP_CONNECTION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "common/boot_clock.h"
#include "stand_ins/common/freezable_executor.h"
#include "stand_ins/common/http_target.h"

namespace amaranthlane::stand_ins {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

// The target of a request. It points into the request.
HttpTarget ParseTarget(const HttpRequest& request);

class HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

// What a server does with its connections.
struct ServerSettings {
  // Takes each request and answers it on the connection, now or later, or hangs up. Failures below Error that it
  // throws are answered as problems.
  std::function<void(const HttpConnectionPtr&, const HttpRequest&)> handle_request;
  // Called once for each connection that closed, with its number.
  std::function<void(std::uint64_t)> handle_close = [](std::uint64_t) {};
  // The age that a connection must reach before its first request is handled.
  std::chrono::milliseconds connect_delay{0};
  // Holds all work of the server's connections while frozen. Must outlive the server.
  FreezableExecutor* executor = nullptr;
};

// One TCP connection of a server. It handles one request at a time and stays open between them.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::uint64_t id, boost::asio::ip::tcp::socket socket, const ServerSettings& settings);

  // Starts reading requests.
  void Start();
  // Sends the answer to the request in hand. Nothing is sent if the connection has closed in the meantime.
  void Respond(unsigned status, std::string body);
  // Sends the answer and closes the connection behind it.
  void RespondAndClose(unsigned status, std::string body);
  // Closes the connection without an answer.
  void Disconnect();
  // Calls `work` and answers a failure that it throws as a problem. `request_id` is the JSON text of the request's
  // number, which the problem then carries; empty: none.
  void RunWithErrorResponse(const std::function<void()>& work, const std::string& request_id = "");

  // Numbers the connections of one server.
  const std::uint64_t id;

 private:
  void ReadRequest();
  void ReadMore();
  void ParseBuffer();
  void HandleRequest();
  void CallHandler(const HttpRequest& request);
  void WatchForDisconnect();
  void Send(unsigned status, std::string_view body);
  void FinishResponse();
  void Close();

  boost::asio::ip::tcp::socket socket;
  const ServerSettings& settings;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
  std::string output;
  TimePoint earliest_first_request;
  bool response_pending = false;
  bool watching_for_disconnect = false;
  bool close_after_response = false;
  bool closed = false;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_HTTP_CONNECTION_H_
