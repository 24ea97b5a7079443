#include "stand_ins/endpoint/endpoint_server.h"

#include <algorithm>
#include <array>
#include <utility>

#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr std::size_t kMaxLogBatchEntries = 1000;

boost::asio::ip::tcp::endpoint ListenAddress(const EndpointSettings& settings) {
  return {boost::asio::ip::make_address(settings.address), settings.port};
}

}  // namespace

EndpointServer::EndpointServer(boost::asio::io_context& io, const EndpointSettings& settings)
    : instance(settings.name),
      slots(io, this->executor, settings.slots, settings.service_time),
      position_polls(io),
      log_polls(io),
      puller(io, this->executor, this->instance, boost::asio::ip::make_address(settings.source_ip),
             [this] { this->NotifyPolls(); }),
      connection_limit(settings.max_connections),
      server(io, ListenAddress(settings),
             {.handle_request = [this](const HttpConnectionPtr& connection,
                                       const HttpRequest& request) { this->Handle(connection, request); },
              .handle_close =
                  [this](std::uint64_t id) {
                    this->connections.erase(id);
                    this->position_polls.Remove(id);
                    this->log_polls.Remove(id);
                  },
              .connect_delay = settings.connect_delay,
              .executor = &this->executor}) {
  this->puller.SetLag(settings.lag);
}

void EndpointServer::SetFrozen(bool on) { this->executor.SetFrozen(on); }

void EndpointServer::SetLag(std::chrono::milliseconds lag) { this->puller.SetLag(lag); }

void EndpointServer::SetServiceTime(std::chrono::microseconds service_time) {
  this->slots.SetServiceTime(service_time);
}

EndpointState EndpointServer::State() const {
  return {this->instance.GetLog().GetRows().size(),
          this->connections.size(),
          this->peak_connections,
          this->statements_run,
          this->slots.RunningCount(),
          this->slots.WaitingCount()};
}

const EndpointServer::Route& EndpointServer::FindRoute(const HttpRequest& request, const HttpTarget& target) {
  static constexpr std::array<Route, 7> kRoutes = {{
      {verb::post, "/v1/statement", &EndpointServer::HandleStatement, true},
      {verb::post, "/v1/commit", &EndpointServer::HandleCommit, true},
      {verb::post, "/v1/rollback", &EndpointServer::HandleRollback, true},
      {verb::get, "/v1/outcome", &EndpointServer::HandleOutcome, true},
      {verb::get, "/v1/position", &EndpointServer::HandlePosition, false},
      {verb::post, "/v1/configure", &EndpointServer::HandleConfigure, false},
      {verb::get, "/v1/log", &EndpointServer::HandleLog, false},
  }};
  const auto* const found = std::find_if(kRoutes.begin(), kRoutes.end(), [&](const Route& route) {
    return route.method == request.method() && route.path == target.path;
  });
  if (found == kRoutes.end()) {
    const std::string path(target.path);
    throw UnknownCallError(path);
  }
  return *found;
}

void EndpointServer::Handle(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const Route& route = EndpointServer::FindRoute(request, ParseTarget(request));
  if (route.counts_toward_limit && !this->AdmitConnection(connection)) {
    const TooManyConnectionsError error(this->connection_limit);
    connection->RespondAndClose(error.problem.status, FormatProblem(error.problem));
    return;
  }
  (this->*route.handler)(connection, request);
}

bool EndpointServer::AdmitConnection(const HttpConnectionPtr& connection) {
  if (this->connections.contains(connection->id)) {
    return true;
  }
  if (this->connections.size() >= this->connection_limit) {
    return false;
  }
  this->connections.try_emplace(connection->id);
  this->peak_connections = std::max<std::uint64_t>(this->peak_connections, this->connections.size());
  return true;
}

void EndpointServer::RunStatement(const HttpConnectionPtr& connection, const StatementRequest& request) {
  if (request.autocommit) {
    const Completion completion = this->instance.RunAutocommit(request);
    ++this->statements_run;
    this->RespondWithCompletion(connection, request.request_id, completion);
    return;
  }
  const auto found = this->connections.find(connection->id);
  if (found == this->connections.end()) {
    // The connection was closed, which discarded its transaction.
    return;
  }
  const Completion completion = this->instance.RunInTransaction(request, found->second.transaction);
  ++this->statements_run;
  this->RespondWithCompletion(connection, request.request_id, completion);
}

void EndpointServer::RespondWithCompletion(const HttpConnectionPtr& connection, const std::string& request_id,
                                           const Completion& completion) {
  std::string body = R"({"request_id":)" + request_id;
  body += R"(,"outcome":"done","result":)";
  body += completion.result;
  body += R"(,"term":)" + std::to_string(this->instance.Term());
  body += R"(,"position":)" + FormatPosition(completion.position);
  body += completion.replayed ? R"(,"replayed":true})" : R"(,"replayed":false})";
  connection->Respond(kOk, std::move(body));
  if (this->instance.GetLog().LastPosition().offset != this->notified_offset) {
    this->NotifyPolls();
  }
}

void EndpointServer::NotifyPolls() {
  this->notified_offset = this->instance.GetLog().LastPosition().offset;
  this->position_polls.Notify();
  this->log_polls.Notify();
}

void EndpointServer::HandleStatement(const HttpConnectionPtr& connection, const HttpRequest& request) {
  StatementRequest statement = ParseStatementRequest(request.body());
  const std::string request_id = statement.request_id;
  connection->RunWithErrorResponse(
      [&] {
        // Rejects a request for another term before it is queued; the check is repeated when the statement runs.
        this->instance.CheckTerm(statement.term);
        this->slots.Submit([this, connection, statement = std::move(statement)] {
          connection->RunWithErrorResponse([&] { this->RunStatement(connection, statement); }, statement.request_id);
        });
      },
      request_id);
}

void EndpointServer::HandleCommit(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const TransactionEndRequest end_request = ParseTransactionEndRequest(request.body());
  connection->RunWithErrorResponse(
      [&] {
        std::optional<Transaction>& transaction = this->connections.at(connection->id).transaction;
        this->RespondWithCompletion(connection, end_request.request_id,
                                    this->instance.Commit(end_request, transaction));
      },
      end_request.request_id);
}

void EndpointServer::HandleRollback(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const TransactionEndRequest end_request = ParseTransactionEndRequest(request.body());
  // A rollback ends the transaction even if the term doesn't match, so that none of its writes remain pending on the
  // connection.
  this->connections.at(connection->id).transaction.reset();
  connection->RunWithErrorResponse(
      [&] {
        this->instance.CheckTerm(end_request.term);
        this->RespondWithCompletion(connection, end_request.request_id,
                                    {"null", this->instance.GetLog().LastPosition(), false});
      },
      end_request.request_id);
}

void EndpointServer::HandleOutcome(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request);
  const std::optional<std::string> key = target.Text("key");
  const std::optional<std::uint64_t> term = target.Number("term");
  if (!key || !term) {
    throw BadRequestError("the query parameters key and term are required");
  }
  const KeyOutcome outcome = this->instance.FindOutcome(*key, *term);
  if (!outcome.known) {
    connection->Respond(kOk, R"({"known":false})");
    return;
  }
  connection->Respond(
      kOk, R"({"known":true,"result":)" + outcome.result + R"(,"position":)" + FormatPosition(outcome.position) + "}");
}

void EndpointServer::HandlePosition(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request);
  const std::optional<std::uint64_t> after = target.Number("after");
  this->position_polls.Add(connection, target.Milliseconds("wait_ms"), [this, connection, after](bool expired) {
    if (after && this->instance.GetLog().LastPosition().offset <= *after && !expired) {
      return false;
    }
    connection->Respond(kOk, this->instance.FormatPositionResponse());
    return true;
  });
}

void EndpointServer::HandleConfigure(const HttpConnectionPtr& connection, const HttpRequest& request) {
  if (this->instance.Configure(ParseConfigureRequest(request.body()))) {
    this->puller.Restart();
    this->NotifyPolls();
  }
  connection->Respond(kOk, this->instance.FormatPositionResponse());
}

void EndpointServer::HandleLog(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = ParseTarget(request);
  const LogPullRequest pull = {{target.Number("after_term").value_or(0), target.Number("after").value_or(0)},
                               target.Number("term").value_or(0)};
  this->log_polls.Add(connection, target.Milliseconds("wait_ms"), [this, connection, pull](bool expired) {
    return this->TryRespondWithLog(connection, pull, expired);
  });
}

bool EndpointServer::TryRespondWithLog(const HttpConnectionPtr& connection, const LogPullRequest& pull, bool expired) {
  bool responded = true;
  connection->RunWithErrorResponse([&] {
    this->instance.CheckTerm(pull.term);
    this->instance.CheckPrimary();
    const Log& log = this->instance.GetLog();
    if (!log.Contains(pull.after)) {
      throw LogMismatchError(pull.after.offset, log.LastPosition().offset);
    }
    if (log.LastPosition().offset == pull.after.offset && !expired) {
      responded = false;
      return;
    }
    connection->Respond(kOk, R"({"term":)" + std::to_string(this->instance.Term()) + R"(,"entries":[)" +
                                 log.FormatAfter(pull.after.offset, kMaxLogBatchEntries) + "]}");
  });
  return responded;
}

}  // namespace amaranthlane::stand_ins
