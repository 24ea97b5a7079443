#ifndef AMARANTHLANE_STAND_INS_PLATFORM_PLATFORM_SERVER_H_
#define AMARANTHLANE_STAND_INS_PLATFORM_PLATFORM_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "stand_ins/common/http_server.h"
#include "stand_ins/common/http_target.h"
#include "stand_ins/common/long_polls.h"
#include "stand_ins/platform/object_store.h"
#include "stand_ins/platform/seed.h"
#include "stand_ins/platform/vm_list.h"

namespace amaranthlane::stand_ins {

// Serves the platform's object API and its fault-injection API on one port.
class PlatformServer {
 public:
  PlatformServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, const Seed& seed);

 private:
  // A request in progress.
  struct Call {
    HttpConnectionPtr connection;
    HttpRequest request;
    // The segments of the request's path.
    std::vector<std::string> path;
  };
  using Handler = void (PlatformServer::*)(const Call&);
  // The path segment `*` matches any segment.
  struct Route {
    boost::beast::http::verb method;
    std::vector<std::string> path;
    Handler handler;
  };
  struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
  };
  // Drops the next `count` responses to requests with this method, after the requests took effect.
  struct ResponsesToDrop {
    std::uint64_t count = 0;
    std::string method = "PUT";
  };

  static const std::vector<Route>& Routes();

  void Handle(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleAfterDelay(const Call& call);
  void Dispatch(const Call& call);
  // Sends the response, or disconnects if the response is to be dropped.
  void Respond(const Call& call, const nlohmann::json& body);
  bool ShouldDropResponse(const Call& call);

  void GetObject(const Call& call);
  void ListObjects(const Call& call);
  void PutObject(const Call& call);
  void DeleteObject(const Call& call);
  void Watch(const Call& call);
  void ListVms(const Call& call);
  void ControlOutage(const Call& call);
  void ControlDelay(const Call& call);
  void ControlDropResponses(const Call& call);
  void ControlVms(const Call& call);
  void ControlVmLag(const Call& call);
  void ControlCalls(const Call& call);

  boost::asio::io_context& io;
  ObjectStore store;
  VmList vms;
  LongPolls watches;
  Counts counts;
  ResponsesToDrop responses_to_drop;
  std::chrono::milliseconds delay{0};
  bool outage = false;
  HttpServer server;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_PLATFORM_PLATFORM_SERVER_H_
