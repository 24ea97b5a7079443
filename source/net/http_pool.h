#ifndef AMARANTHLANE_NET_HTTP_POOL_H_
#define AMARANTHLANE_NET_HTTP_POOL_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "net/http_connection.h"

namespace amaranthlane::net {

// A pool of keep-alive connections to one address. A call uses an idle connection or opens a new one. While
// `max_connections` are in use, calls wait in a FIFO queue; a call whose deadline has passed when its turn comes ends
// as kNotSent. The destructor drops waiting calls without calling their callbacks.
class HttpPool {
 public:
  HttpPool(boost::asio::io_context& loop, const Address& address, std::size_t max_connections);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  // As HttpConnection::Call.
  void Call(HttpRequest request, TimePoint deadline, HttpConnection::Callback callback, BodySink sink = {});

  const Address& Target() const;

 private:
  struct WaitingCall {
    HttpRequest request;
    TimePoint deadline;
    HttpConnection::Callback callback;
    BodySink sink;
  };
  struct State;

  static void StartCall(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection,
                        WaitingCall call);
  // Returns an idle connection that is usable, and closes those that aren't; null if there is none.
  static std::shared_ptr<HttpConnection> TakeIdleConnection(const std::shared_ptr<State>& state);
  // Called when a call times out, because the idle connections may be unresponsive for the same reason.
  static void CloseIdleConnections(const std::shared_ptr<State>& state);
  static void Release(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection);
  static void StartWaitingCall(const std::shared_ptr<State>& state, WaitingCall call);

  std::shared_ptr<State> state;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_POOL_H_
