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
  // Connections open at once; further ones wait in the listen queue.
  std::size_t connections = 8192;
  // Bytes of one request's body.
  std::size_t body_bytes = 1 << 20;
  // How long an idle connection is kept.
  std::chrono::milliseconds idle_timeout = std::chrono::minutes(10);
  // How long a handler may take to answer.
  std::chrono::milliseconds response_timeout = std::chrono::minutes(2);
};

// An HTTP/1.1 server on an event loop that the caller runs on one thread. RESTinio does the work; it stays behind this
// interface because a unit that includes it is slow to compile.
class HttpServer {
 public:
  // Sends the answer to one request. It may be called later, once, on the event loop's thread.
  using Answer = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Answer)>;

  HttpServer(boost::asio::io_context& loop, const Address& address, const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen; throws ListenError.
  void Start();

  // Closes the listening socket. Open connections live on; each answer from now on asks its client to close.
  void StopAccepting();

  // Requests that were taken and not answered yet.
  std::size_t RequestsInFlight() const;

  // Connections that are open now.
  std::size_t OpenConnections() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_SERVER_H_
