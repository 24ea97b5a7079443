#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_SERVER_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_SERVER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "stand_ins/common/http_server.h"
#include "stand_ins/common/http_target.h"
#include "stand_ins/common/long_polls.h"
#include "stand_ins/endpoint/instance.h"
#include "stand_ins/endpoint/replica_puller.h"
#include "stand_ins/endpoint/slots.h"

namespace amaranthlane::stand_ins {

// Settings of an endpoint.
struct EndpointSettings {
  std::string name = "endpoint";
  std::string address = "127.0.0.1";
  // Local IP address of outgoing connections.
  std::string source_ip = "0.0.0.0";
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;
  std::uint64_t slots = 5;
  std::uint64_t max_connections = 35;
  std::chrono::microseconds service_time{0};
  std::chrono::milliseconds connect_delay{12};
  std::chrono::milliseconds lag{0};
};

// Counters of an endpoint, as returned by the control port.
struct EndpointState {
  std::uint64_t row_count = 0;
  std::uint64_t open_connections = 0;
  std::uint64_t peak_connections = 0;
  std::uint64_t statements_run = 0;
  std::uint64_t statements_running = 0;
  std::uint64_t statements_waiting = 0;
};

// Serves the main port of a database instance.
class EndpointServer {
 public:
  EndpointServer(boost::asio::io_context& io, const EndpointSettings& settings);

  void SetFrozen(bool on);
  void SetLag(std::chrono::milliseconds lag);
  void SetServiceTime(std::chrono::microseconds service_time);
  EndpointState State() const;

 private:
  using Handler = void (EndpointServer::*)(const HttpConnectionPtr&, const HttpRequest&);
  struct Route {
    boost::beast::http::verb method;
    std::string_view path;
    Handler handler;
    // Whether a connection that sends this request counts toward the connection limit.
    bool counts_toward_limit;
  };
  // A connection that counts toward the connection limit.
  struct DatabaseConnection {
    std::optional<Transaction> transaction;
  };
  // A replica's request for the entries after a position.
  struct LogPullRequest {
    Position after;
    std::uint64_t term = 0;
  };

  static const Route& FindRoute(const HttpRequest& request, const HttpTarget& target);

  void Handle(const HttpConnectionPtr& connection, const HttpRequest& request);
  bool AdmitConnection(const HttpConnectionPtr& connection);

  void RunStatement(const HttpConnectionPtr& connection, const StatementRequest& request);
  void RespondWithCompletion(const HttpConnectionPtr& connection, const std::string& request_id,
                             const Completion& completion);
  bool TryRespondWithLog(const HttpConnectionPtr& connection, const LogPullRequest& pull, bool expired);
  // Rechecks the waiting requests after a change of the log or the role.
  void NotifyPolls();

  void HandleStatement(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleCommit(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleRollback(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleOutcome(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandlePosition(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleConfigure(const HttpConnectionPtr& connection, const HttpRequest& request);
  void HandleLog(const HttpConnectionPtr& connection, const HttpRequest& request);

  FreezableExecutor executor;
  Instance instance;
  Slots slots;
  LongPolls position_polls;
  LongPolls log_polls;
  ReplicaPuller puller;
  std::unordered_map<std::uint64_t, DatabaseConnection> connections;
  std::uint64_t connection_limit;
  std::uint64_t peak_connections = 0;
  std::uint64_t statements_run = 0;
  // The last log offset at which the waiting requests were rechecked.
  std::uint64_t notified_offset = 0;
  HttpServer server;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_ENDPOINT_SERVER_H_
