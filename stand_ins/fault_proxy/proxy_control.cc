#include "stand_ins/fault_proxy/proxy_control.h"

#include "common/json.h"
#include "stand_ins/common/http_target.h"
#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr std::size_t kNamePart = 2;
constexpr std::size_t kActionPart = 3;
constexpr std::size_t kRouteParts = 3;

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
    connection->Answer(kOk, this->FormatRoutes().dump());
    return;
  }
  const std::vector<std::string> path = HttpTarget(target).PathParts();
  const bool names_route = path.size() >= kRouteParts && path[0] == "control" && path[1] == "route";
  if (request.method() != verb::post || !names_route) {
    throw UnknownCallError(target);
  }
  Route& route = this->FindRoute(path[kNamePart]);
  if (path.size() == kRouteParts) {
    route.SetFault(ParseFault(json::Parse(request.body(), "fault")));
  } else if (path.size() == kRouteParts + 1 && path[kActionPart] == "lose_answer") {
    route.LoseAnswers(ParseLostAnswers(json::Parse(request.body(), "lose_answer")));
  } else {
    throw UnknownCallError(target);
  }
  connection->Answer(kOk, route.ToJson().dump());
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
