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

// The returned target holds views into the request.
HttpTarget ParseTarget(const HttpRequest& request);

class HttpConnection;
using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

// Callbacks and settings that apply to all connections of a server.
struct ServerSettings {
  // Handles a request: responds on the connection, now or later, or disconnects. An Error that it throws is sent as
  // a problem response.
  std::function<void(const HttpConnectionPtr&, const HttpRequest&)> handle_request;
  // Called once when a connection has closed, with the id of the connection.
  std::function<void(std::uint64_t)> handle_close = [](std::uint64_t) {};
  // Minimum age of a connection before its first request is handled.
  std::chrono::milliseconds connect_delay{0};
  // Runs all work of the server's connections; queues it while frozen. Must outlive the server.
  FreezableExecutor* executor = nullptr;
};

// One persistent TCP connection of a server. It handles one request at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(std::uint64_t id, boost::asio::ip::tcp::socket socket, const ServerSettings& settings);

  // Starts reading requests.
  void Start();
  // Sends the response to the current request. Does nothing if the connection has closed in the meantime.
  void Respond(unsigned status, std::string body);
  // Sends the response, then closes the connection.
  void RespondAndClose(unsigned status, std::string body);
  // Closes the connection without a response.
  void Disconnect();
  // Calls `work` and sends an Error that it throws as a problem response. `request_id` is the request id as JSON text,
  // which the problem response then includes; empty: none.
  void RunWithErrorResponse(const std::function<void()>& work, const std::string& request_id = "");

  // Unique among the connections of one server.
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
