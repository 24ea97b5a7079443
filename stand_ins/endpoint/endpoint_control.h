#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_CONTROL_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_CONTROL_H_

#include <string>

#include "stand_ins/common/http_server.h"
#include "stand_ins/endpoint/endpoint_server.h"

namespace amaranthlane::stand_ins {

// Serves the control port of an endpoint. It keeps responding while the main port is frozen.
class EndpointControl {
 public:
  EndpointControl(boost::asio::io_context& io, const EndpointSettings& settings, EndpointServer& endpoint);

 private:
  using Handler = void (EndpointControl::*)(const std::string&);
  struct Route {
    const char* path;
    Handler handler;
  };

  void Handle(const HttpConnectionPtr& connection, const HttpRequest& request);
  void SetLag(const std::string& body);
  void SetFrozen(const std::string& body);
  void SetServiceTime(const std::string& body);
  std::string FormatState() const;

  EndpointServer& endpoint;
  HttpServer server;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_CONTROL_H_
