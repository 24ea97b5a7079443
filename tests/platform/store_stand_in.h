#ifndef AMARANTHLANE_TESTS_PLATFORM_STORE_STAND_IN_H_
#define AMARANTHLANE_TESTS_PLATFORM_STORE_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/types.h"
#include "net/address.h"
#include "net/http_server.h"

namespace amaranthlane::platform {

// The platform's store as an HTTP server on the test's event loop: objects by kind and name, conditional writes, lists
// and watches. It can be restored from an older copy of itself, which loses what it has acknowledged since.
class StoreStandIn {
 public:
  // What a copy holds.
  struct Content {
    // By kind and name.
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    ObjectVersion revision = 0;
  };

  explicit StoreStandIn(boost::asio::io_context& loop);

  const net::Address& Address() const;
  // Writes an object unconditionally, as the operator or an endpoint would.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  // Replaces the content by an older copy. Revisions are given out again from there.
  void Restore(const Content& copy);

  Content content;
  std::uint64_t era = 1;
  // The methods and targets of all requests.
  std::vector<std::string> requests;
  // Called before each request is handled.
  std::function<void()> before_request;

 private:
  struct PendingWatch {
    std::string kind;
    ObjectVersion since = 0;
    TimePoint end;
    net::HttpServer::ResponseCallback answer;
  };

  void Serve(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer);
  net::HttpResponse Read(const std::vector<std::string>& path) const;
  net::HttpResponse Write(const net::HttpRequest& request, const std::vector<std::string>& path);
  net::HttpResponse Respond(unsigned status, const nlohmann::json& body) const;
  void AnswerWatches();
  // Answers watches that have waited for long enough, again and again.
  void EndWatches();

  // Each change as its revision, the kind, and the event.
  std::vector<std::tuple<ObjectVersion, std::string, nlohmann::json>> history;
  // No watch may begin before this revision.
  ObjectVersion first_watchable = 0;
  std::vector<PendingWatch> watches;
  boost::asio::steady_timer timer;
  net::Address address;
  net::HttpServer server;
};

}  // namespace amaranthlane::platform

#endif  // AMARANTHLANE_TESTS_PLATFORM_STORE_STAND_IN_H_
