#ifndef AMARANTHLANE_DAEMON_OPERATORS_API_H_
#define AMARANTHLANE_DAEMON_OPERATORS_API_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/settings.h"
#include "daemon/control_plane.h"
#include "metrics/registry.h"
#include "net/http_server.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// The HTTP interface of a VM for operators.
class OperatorsApi {
 public:
  struct Host {
    // The groups that this VM leads, as JSON.
    std::function<nlohmann::json()> led_groups;
    // Starts a graceful shutdown.
    std::function<void()> drain;
    // Changes a group's primary; the body and the response are those of `POST /v1/groups/{group}/promote`.
    std::function<void(const GroupName&, const std::string& body, net::HttpServer::ResponseCallback)> promote;
    std::function<bool()> draining;
  };

  OperatorsApi(const Settings& settings, ControlPlane& control_plane, metrics::Registry& metrics,
               std::shared_ptr<tracing::RingTracer> tracer, Host host);

  void Handle(const net::HttpRequest& request, net::HttpServer::ResponseCallback respond);

 private:
  using Segments = std::vector<std::string>;
  using Method = void (OperatorsApi::*)(const net::HttpRequest&, const Segments&,
                                        const net::HttpServer::ResponseCallback&);
  struct Route {
    const char* method;
    const char* resource;
    std::size_t segment_count;
    Method handler;
  };

  static const std::vector<Route>& Routes();

  void Health(const net::HttpRequest& request, const Segments& segments,
              const net::HttpServer::ResponseCallback& respond);
  void Ready(const net::HttpRequest& request, const Segments& segments,
             const net::HttpServer::ResponseCallback& respond);
  void Metrics(const net::HttpRequest& request, const Segments& segments,
               const net::HttpServer::ResponseCallback& respond);
  void Status(const net::HttpRequest& request, const Segments& segments,
              const net::HttpServer::ResponseCallback& respond);
  void Drain(const net::HttpRequest& request, const Segments& segments,
             const net::HttpServer::ResponseCallback& respond);
  void Traces(const net::HttpRequest& request, const Segments& segments,
              const net::HttpServer::ResponseCallback& respond);
  void Promote(const net::HttpRequest& request, const Segments& segments,
               const net::HttpServer::ResponseCallback& respond);
  void ListObjects(const net::HttpRequest& request, const Segments& segments,
                   const net::HttpServer::ResponseCallback& respond);
  void GetObject(const net::HttpRequest& request, const Segments& segments,
                 const net::HttpServer::ResponseCallback& respond);
  void PutObject(const net::HttpRequest& request, const Segments& segments,
                 const net::HttpServer::ResponseCallback& respond);
  void DeleteObject(const net::HttpRequest& request, const Segments& segments,
                    const net::HttpServer::ResponseCallback& respond);

  void Submit(configuration::EditRequest edit, const net::HttpServer::ResponseCallback& respond);

  const Settings& settings;
  ControlPlane& control_plane;
  metrics::Registry& metrics;
  std::shared_ptr<tracing::RingTracer> tracer;
  Host host;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_OPERATORS_API_H_
