#include "daemon/endpoint_connection_pool.h"

#include <utility>

namespace amaranthlane::daemon {

EndpointConnectionPool::EndpointConnectionPool(boost::asio::io_context& loop, const net::Address& address,
                                               std::size_t max_connections, ConnectionIdGenerator& id_generator)
    : loop(loop), address(address), max_connections(max_connections), id_generator(id_generator) {}

EndpointConnectionPool::~EndpointConnectionPool() {
  std::unordered_map<outcomes::ConnectionId, PooledConnection> closing = std::exchange(this->connections, {});
  for (auto& [id, pooled] : closing) {
    pooled.connection->Close();
  }
}

std::optional<outcomes::ConnectionId> EndpointConnectionPool::Acquire(bool fresh) {
  while (!fresh && !this->idle.empty()) {
    const outcomes::ConnectionId id = this->idle.back();
    this->idle.pop_back();
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
      continue;
    }
    found->second.idle = false;
    return id;
  }
  if (this->connections.size() >= this->max_connections && !this->idle.empty()) {
    // Reached only with `fresh`: closes an idle connection to make room for the new one.
    this->Close(this->idle.back());
  }
  if (this->connections.size() >= this->max_connections) {
    return std::nullopt;
  }
  const outcomes::ConnectionId id = this->id_generator.next++;
  this->connections[id] = PooledConnection{std::make_shared<net::HttpConnection>(this->loop, this->address), false};
  return id;
}

void EndpointConnectionPool::Call(outcomes::ConnectionId connection, net::HttpRequest request, TimePoint deadline,
                                  Callback callback) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    callback(connection, net::CallResult{net::CallStatus::kNotSent, {}});
    return;
  }
  found->second.connection->Call(
      std::move(request), deadline,
      [this, connection, callback = std::move(callback),
       alive = std::weak_ptr<net::HttpConnection>(found->second.connection)](net::CallResult result) {
        // Close removes the connection from the pool before the connection reports its end.
        if (!alive.expired() && this->connections.contains(connection)) {
          callback(connection, std::move(result));
        }
      });
}

void EndpointConnectionPool::Release(outcomes::ConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  if (!found->second.connection->Usable() || found->second.connection->Busy()) {
    this->Close(connection);
    return;
  }
  found->second.idle = true;
  this->idle.push_back(connection);
}

void EndpointConnectionPool::Close(outcomes::ConnectionId connection) {
  const auto found = this->connections.find(connection);
  if (found == this->connections.end()) {
    return;
  }
  const std::shared_ptr<net::HttpConnection> closing = std::move(found->second.connection);
  this->connections.erase(found);
  std::erase(this->idle, connection);
  closing->Close();
}

void EndpointConnectionPool::CloseIdle() {
  for (const outcomes::ConnectionId connection : std::vector<outcomes::ConnectionId>(this->idle)) {
    this->Close(connection);
  }
}

std::vector<outcomes::ConnectionId> EndpointConnectionPool::InUse() const {
  std::vector<outcomes::ConnectionId> in_use;
  for (const auto& [id, pooled] : this->connections) {
    if (!pooled.idle) {
      in_use.push_back(id);
    }
  }
  return in_use;
}

bool EndpointConnectionPool::Contains(outcomes::ConnectionId connection) const {
  return this->connections.contains(connection);
}

std::size_t EndpointConnectionPool::ConnectionCount() const { return this->connections.size(); }

const net::Address& EndpointConnectionPool::Target() const { return this->address; }

}  // namespace amaranthlane::daemon
