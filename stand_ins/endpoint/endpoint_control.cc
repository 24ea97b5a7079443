#include "stand_ins/endpoint/endpoint_control.h"

#include "common/json.h"
#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;

}  // namespace

EndpointControl::EndpointControl(boost::asio::io_context& io, const EndpointSettings& settings,
                                 EndpointServer& endpoint)
    : endpoint(endpoint),
      server(io, {boost::asio::ip::make_address(settings.address), settings.control_port},
             {.handle_request = [this](const HttpConnectionPtr& connection, const HttpRequest& request) {
               this->Handle(connection, request);
             }}) {}

void EndpointControl::Handle(const HttpConnectionPtr& connection, const HttpRequest& request) {
  static constexpr Route kRoutes[] = {{"/control/lag", &EndpointControl::SetLag},
                                      {"/control/freeze", &EndpointControl::SetFrozen},
                                      {"/control/service_time", &EndpointControl::SetServiceTime}};
  if (request.method() == verb::get && request.target() == "/control/state") {
    connection->Respond(kOk, this->FormatState());
    return;
  }
  for (const Route& route : kRoutes) {
    if (request.method() == verb::post && request.target() == route.path) {
      (this->*route.handler)(request.body());
      connection->Respond(kOk, "{}");
      return;
    }
  }
  const std::string target(request.target());
  throw UnknownCallError(target);
}

void EndpointControl::SetLag(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "lag");
  this->endpoint.SetLag(json::ObjectReader(value, "lag").Milliseconds("lag_ms"));
}

void EndpointControl::SetFrozen(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "freeze");
  this->endpoint.SetFrozen(json::ObjectReader(value, "freeze").Bool("on"));
}

void EndpointControl::SetServiceTime(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "service_time");
  const std::uint64_t count = json::ObjectReader(value, "service_time").Unsigned("service_us");
  this->endpoint.SetServiceTime(std::chrono::microseconds(count));
}

std::string EndpointControl::FormatState() const {
  const EndpointState state = this->endpoint.State();
  const nlohmann::json body = {{"rows", state.row_count},
                               {"connections_open", state.open_connections},
                               {"connections_most", state.peak_connections},
                               {"statements_run", state.statements_run},
                               {"statements_running", state.statements_running},
                               {"statements_waiting", state.statements_waiting}};
  return body.dump();
}

}  // namespace amaranthlane::stand_ins
