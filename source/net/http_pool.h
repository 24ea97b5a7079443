#ifndef AMARANTHLANE_NET_HTTP_POOL_H_
#define AMARANTHLANE_NET_HTTP_POOL_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include "net/http_connection.h"

namespace amaranthlane::net {

// Keep-alive connections to one address. A call takes an idle connection or opens one; beyond `limit` it waits its
// turn, and one that is still waiting at its deadline ends as kNotSent.
class HttpPool {
 public:
  HttpPool(boost::asio::io_context& loop, const Address& address, std::size_t max_connections);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  void Call(HttpRequest request, TimePoint deadline, HttpConnection::Callback callback);

  const Address& Target() const;

 private:
  struct WaitingCall {
    HttpRequest request;
    TimePoint deadline;
    HttpConnection::Callback callback;
  };
  struct State;

  static void StartCall(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection,
                        WaitingCall call);
  // What silenced one connection may have silenced those that were open beside it.
  static void CloseIdleConnections(const std::shared_ptr<State>& state);
  static void Release(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection);
  static void StartWaitingCall(const std::shared_ptr<State>& state, WaitingCall call);

  std::shared_ptr<State> state;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_POOL_H_
