#ifndef AMARANTHLANE_NET_HTTP_SERVER_H_
#define AMARANTHLANE_NET_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "net/address.h"
#include "net/http_message.h"

namespace amaranthlane::net {

struct HttpServerLimits {
  // Maximum number of open connections; further connections wait in the listen backlog.
  std::size_t max_connections = 8192;
  // Maximum size of a request body, in bytes.
  std::size_t max_body_bytes = 1 << 20;
  // How long an idle connection is kept open.
  std::chrono::milliseconds idle_timeout = std::chrono::minutes(10);
  // How long a handler may take to respond.
  std::chrono::milliseconds response_timeout = std::chrono::minutes(2);
};

// An HTTP/1.1 server on an event loop that its owner runs on one thread. It is implemented with RESTinio, which this
// header hides because a translation unit that includes RESTinio is slow to compile.
class HttpServer {
 public:
  // Sends the response to one request. It may be called after the handler has returned, at most once, on the event
  // loop's thread. A response with an invalid part is replaced by one with status 500.
  using ResponseCallback = std::function<void(HttpResponse)>;
  // Handles one request. A request with an invalid part doesn't get this far: it is answered with status 400, and its
  // connection ends.
  using Handler = std::function<void(HttpRequest, ResponseCallback)>;

  HttpServer(boost::asio::io_context& loop, const Address& address, const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts listening. Throws ListenError.
  void Start();

  // Closes the listening socket. Open connections stay open; each later response tells the client to close the
  // connection.
  void StopAccepting();

  // Number of requests that were received and have no response yet.
  std::size_t RequestsInFlight() const;

  // Number of open connections.
  std::size_t OpenConnections() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_SERVER_H_
