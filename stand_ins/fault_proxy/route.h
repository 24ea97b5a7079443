#ifndef AMARANTHLANE_STAND_INS_FAULT_PROXY_ROUTE_H_
#define AMARANTHLANE_STAND_INS_FAULT_PROXY_ROUTE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "stand_ins/fault_proxy/fault.h"
#include "stand_ins/fault_proxy/link.h"

namespace amaranthlane::stand_ins {

// The name of a route, the address it listens on and the address it forwards to.
struct RouteSettings {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint target;
};

// Parses `NAME:LISTEN_PORT:TARGET_IP:PORT`; the route listens on the IP address `listen_ip`. Throws CommandLineError or
// AddressError.
RouteSettings ParseRouteSettings(const std::string& text, const std::string& listen_ip);

// Forwards the connections of one listening port.
class Route {
 public:
  // Starts listening.
  Route(boost::asio::io_context& io, RouteSettings settings);

  // Sets the fault of all connections, or of those from one IP address. A route that is cut for a single IP address
  // still accepts connections from it and closes them at once.
  void SetFault(const FaultRequest& request);
  void SetResponsesToDrop(ResponsesToDrop responses_to_drop);
  nlohmann::json ToJson() const;

 private:
  void Listen();
  void Accept();
  void StartLink(boost::asio::ip::tcp::socket socket);
  // Applies a changed fault to the open links of clients at `client_ip`; empty: to all open links.
  void ApplyToOpenLinks(const Fault& fault, const std::string& client_ip);

  RouteSettings settings;
  RouteState state;
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<std::uint64_t, std::shared_ptr<Link>> links;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_FAULT_PROXY_ROUTE_H_
