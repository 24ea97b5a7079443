#ifndef AMARANTHLANE_DAEMON_PEER_CLIENT_H_
#define AMARANTHLANE_DAEMON_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/control_traffic.h"
#include "net/http_pool.h"

namespace amaranthlane::daemon {

// Calls other VMs at their interface for peers. Control messages and callers' work use separate connections, so that a
// burst of work never delays a lease grant.
class PeerClient {
 public:
  PeerClient(boost::asio::io_context& loop, ControlTraffic& traffic);

  void SendControlMessage(const std::string& address, const std::string& target, std::string body, TimePoint deadline,
                          net::HttpConnection::Callback callback);
  // Forwards a caller's request.
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
