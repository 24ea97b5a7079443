#ifndef AMARANTHLANE_DAEMON_PEER_CLIENT_H_
#define AMARANTHLANE_DAEMON_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/control_traffic.h"
#include "net/http_pool.h"

namespace amaranthlane::daemon {

// Calls other VMs on their peers' ports. Control messages and callers' work travel on connections of their own, so that
// a flood of work never delays a promise.
class PeerClient {
 public:
  PeerClient(boost::asio::io_context& loop, ControlTraffic& traffic);

  // Sends a control message.
  void SendControlMessage(const std::string& address, const std::string& target, std::string body, TimePoint deadline,
                          net::HttpConnection::Callback callback);
  // Passes a caller's request on.
  void ForwardWork(const std::string& address, std::string body, std::vector<net::HttpHeader> headers,
                   TimePoint deadline, net::HttpConnection::Callback callback);

 private:
  using Pools = std::map<std::string, std::unique_ptr<net::HttpPool>>;

  net::HttpPool& PoolFor(Pools& pools, const std::string& address, std::size_t max_connections);

  boost::asio::io_context& loop;
  ControlTraffic& traffic;
  Pools control_pools;
  Pools work_pools;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_PEER_CLIENT_H_
