#include "daemon/peer_client.h"

#include <utility>

namespace amaranthlane::daemon {

namespace {

constexpr std::size_t kMaxControlConnections = 4;
constexpr std::size_t kMaxWorkConnections = 256;

}  // namespace

PeerClient::PeerClient(boost::asio::io_context& loop, ControlTraffic& traffic) : loop(loop), traffic(traffic) {}

void PeerClient::SendControlMessage(const std::string& address, const std::string& target, std::string body,
                                    TimePoint deadline, net::HttpConnection::Callback callback) {
  this->PoolFor(this->control_pools, address, kMaxControlConnections)
      .Call(
          net::HttpRequest{"POST", target, {}, std::move(body)}, deadline,
          [this, kind = std::string(PeerTrafficKind(target)), callback = std::move(callback)](net::CallResult result) {
            this->traffic.CountCall(kind, result);
            callback(std::move(result));
          });
}

void PeerClient::ForwardWork(const std::string& address, std::string body, std::vector<net::HttpHeader> headers,
                             TimePoint deadline, net::HttpConnection::Callback callback) {
  this->PoolFor(this->work_pools, address, kMaxWorkConnections)
      .Call(net::HttpRequest{"POST", "/v1/peer/work", std::move(headers), std::move(body)}, deadline,
            std::move(callback));
}

net::HttpPool& PeerClient::PoolFor(Pools& pools, const std::string& address, std::size_t max_connections) {
  std::unique_ptr<net::HttpPool>& pool = pools[address];
  if (pool == nullptr) {
    pool = std::make_unique<net::HttpPool>(this->loop, net::ParseAddress(address), max_connections);
  }
  return *pool;
}

}  // namespace amaranthlane::daemon
