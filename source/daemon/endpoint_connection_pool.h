#ifndef AMARANTHLANE_DAEMON_ENDPOINT_CONNECTION_POOL_H_
#define AMARANTHLANE_DAEMON_ENDPOINT_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/outcomes/request.h"
#include "net/http_connection.h"

namespace amaranthlane::daemon {

// Provides the ids of endpoint connections. An id is never reused within this process.
struct ConnectionIdGenerator {
  outcomes::ConnectionId next = 1;
};

// The connections of a group's leader to one endpoint. A connection is either idle or used by one statement or
// transaction.
class EndpointConnectionPool {
 public:
  using Callback = std::function<void(outcomes::ConnectionId, net::CallResult)>;

  // At most `max_connections` connections are open at once.
  EndpointConnectionPool(boost::asio::io_context& loop, const net::Address& address, std::size_t max_connections,
                         ConnectionIdGenerator& id_generator);
  ~EndpointConnectionPool();
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  // Returns an idle connection, or opens one if none is idle. With `fresh` it always opens one. Returns nothing if
  // `max_connections` are in use.
  std::optional<outcomes::ConnectionId> Acquire(bool fresh);
  // Sends a request on a connection that Acquire returned. If the pool doesn't hold the connection, the callback runs
  // at once with kNotSent. If Close ends the connection during the call, the callback doesn't run.
  void Call(outcomes::ConnectionId connection, net::HttpRequest request, TimePoint deadline, Callback callback);
  // Returns a connection to the pool. A connection that failed, or whose call is still running, is closed.
  void Release(outcomes::ConnectionId connection);
  // Closes a connection. Unknown ids are ignored.
  void Close(outcomes::ConnectionId connection);
  void CloseIdle();
  // The ids of the connections that are not idle.
  std::vector<outcomes::ConnectionId> InUse() const;
  bool Contains(outcomes::ConnectionId connection) const;
  std::size_t ConnectionCount() const;
  const net::Address& Target() const;

 private:
  struct PooledConnection {
    std::shared_ptr<net::HttpConnection> connection;
    bool idle = false;
  };

  boost::asio::io_context& loop;
  net::Address address;
  std::size_t max_connections;
  ConnectionIdGenerator& id_generator;
  std::unordered_map<outcomes::ConnectionId, PooledConnection> connections;
  std::vector<outcomes::ConnectionId> idle;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_ENDPOINT_CONNECTION_POOL_H_
