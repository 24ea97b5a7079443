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

// Gives every connection to any endpoint a number that this process never uses twice.
struct ConnectionNumbers {
  outcomes::ConnectionId next = 1;
};

// The connections of a group's leader to one endpoint. A connection is idle here, or in the hands of one statement or
// transaction.
class EndpointConnectionPool {
 public:
  using Callback = std::function<void(outcomes::ConnectionId, net::CallResult)>;

  // At most `limit` connections are open at once.
  EndpointConnectionPool(boost::asio::io_context& loop, const net::Address& address, std::size_t max_connections,
                         ConnectionNumbers& id_generator);
  ~EndpointConnectionPool();
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  // Hands out an idle connection, or with `fresh` a new one; nothing when the limit is reached.
  std::optional<outcomes::ConnectionId> Acquire(bool fresh);
  // Sends on a connection that was handed out. The callback doesn't run for a connection that Close ended.
  void Call(outcomes::ConnectionId connection, net::HttpRequest request, TimePoint deadline, Callback callback);
  // Takes a connection back; one that failed is dropped.
  void Release(outcomes::ConnectionId connection);
  // Closes a connection. Unknown numbers are ignored.
  void Close(outcomes::ConnectionId connection);
  // Closes all idle connections.
  void CloseIdle();
  // The numbers of the connections that are handed out.
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
  ConnectionNumbers& id_generator;
  std::unordered_map<outcomes::ConnectionId, PooledConnection> connections;
  std::vector<outcomes::ConnectionId> idle;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_ENDPOINT_CONNECTION_POOL_H_
