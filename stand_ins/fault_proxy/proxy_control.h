#ifndef AMARANTHLANE_STAND_INS_FAULT_PROXY_PROXY_CONTROL_H_
#define AMARANTHLANE_STAND_INS_FAULT_PROXY_PROXY_CONTROL_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/common/http_server.h"
#include "stand_ins/fault_proxy/route.h"

namespace amaranthlane::stand_ins {

// Owns the routes of the proxy and serves the control port.
class ProxyControl {
 public:
  ProxyControl(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
               const std::vector<RouteSettings>& routes);

 private:
  void Handle(const HttpConnectionPtr& connection, const HttpRequest& request);
  // Throws UnknownRouteError.
  Route& FindRoute(const std::string& name);
  nlohmann::json FormatRoutes() const;

  std::map<std::string, std::unique_ptr<Route>> routes;
  HttpServer server;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_FAULT_PROXY_PROXY_CONTROL_H_
