#include "stand_ins/fault_proxy/proxy_control.h"

#include "common/json.h"
#include "stand_ins/common/http_target.h"
#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr std::size_t kNameIndex = 2;
constexpr std::size_t kActionIndex = 3;
constexpr std::size_t kRoutePathSegments = 3;

}  // namespace

ProxyControl::ProxyControl(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                           const std::vector<RouteSettings>& routes)
    : server(io, address, {.handle_request = [this](const HttpConnectionPtr& connection, const HttpRequest& request) {
               this->Handle(connection, request);
             }}) {
  for (const RouteSettings& settings : routes) {
    this->routes.emplace(settings.name, std::make_unique<Route>(io, settings));
  }
}

void ProxyControl::Handle(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const std::string target(request.target());
  if (request.method() == verb::get && target == "/control/routes") {
    connection->Respond(kOk, this->FormatRoutes().dump());
    return;
  }
  const std::vector<std::string> path = HttpTarget(target).PathSegments();
  const bool names_route = path.size() >= kRoutePathSegments && path[0] == "control" && path[1] == "route";
  if (request.method() != verb::post || !names_route) {
    throw UnknownCallError(target);
  }
  Route& route = this->FindRoute(path[kNameIndex]);
  if (path.size() == kRoutePathSegments) {
    route.SetFault(ParseFault(json::Parse(request.body(), "fault")));
  } else if (path.size() == kRoutePathSegments + 1 && path[kActionIndex] == "lose_answer") {
    route.SetResponsesToDrop(ParseResponsesToDrop(json::Parse(request.body(), "lose_answer")));
  } else {
    throw UnknownCallError(target);
  }
  connection->Respond(kOk, route.ToJson().dump());
}

Route& ProxyControl::FindRoute(const std::string& name) {
  const auto found = this->routes.find(name);
  if (found == this->routes.end()) {
    throw UnknownRouteError(name);
  }
  return *found->second;
}

nlohmann::json ProxyControl::FormatRoutes() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [name, route] : this->routes) {
    list.push_back(route->ToJson());
  }
  return {{"routes", std::move(list)}};
}

}  // namespace amaranthlane::stand_ins
