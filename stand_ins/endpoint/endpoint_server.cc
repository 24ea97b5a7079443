#include "stand_ins/endpoint/endpoint_server.h"

#include <algorithm>
#include <array>
#include <utility>

#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::beast::http::verb;

constexpr unsigned kOk = 200;
constexpr std::size_t kLogBatch = 1000;

boost::asio::ip::tcp::endpoint ListenAddress(const EndpointSettings& settings) {
  return {boost::asio::ip::make_address(settings.address), settings.port};
}

}  // namespace

EndpointServer::EndpointServer(boost::asio::io_context& io, const EndpointSettings& settings)
    : instance(settings.name),
      slots(io, this->gate, settings.slots, settings.service_time),
      position_polls(io),
      log_polls(io),
      puller(io, this->gate, this->instance, boost::asio::ip::make_address(settings.source_ip),
             [this] { this->NotifyPolls(); }),
      connection_limit(settings.connections),
      server(io, ListenAddress(settings),
             {.handle_request = [this](const HttpConnectionPtr& connection,
                                       const HttpRequest& request) { this->Handle(connection, request); },
              .handle_close =
                  [this](std::uint64_t id) {
                    this->connections.erase(id);
                    this->position_polls.Forget(id);
                    this->log_polls.Forget(id);
                  },
              .connect_delay = settings.connect_delay,
              .gate = &this->gate}) {
  this->puller.SetLag(settings.lag);
}

void EndpointServer::Freeze(bool on) { this->gate.Set(on); }

void EndpointServer::SetLag(std::chrono::milliseconds lag) { this->puller.SetLag(lag); }

void EndpointServer::SetServiceTime(std::chrono::microseconds service_time) {
  this->slots.SetServiceTime(service_time);
}

EndpointState EndpointServer::State() const {
  return {this->instance.OwnLog().AllRows().size(),
          this->connections.size(),
          this->connections_most,
          this->statements_run,
          this->slots.Running(),
          this->slots.Waiting()};
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
  const Route& route = EndpointServer::FindRoute(request, TargetOf(request));
  if (route.counts && !this->CountConnection(connection)) {
    const TooManyConnectionsError refusal(this->connection_limit);
    connection->AnswerAndClose(refusal.problem.status, FormatProblem(refusal.problem));
    return;
  }
  (this->*route.handler)(connection, request);
}

bool EndpointServer::CountConnection(const HttpConnectionPtr& connection) {
  if (this->connections.contains(connection->id)) {
    return true;
  }
  if (this->connections.size() >= this->connection_limit) {
    return false;
  }
  this->connections.try_emplace(connection->id);
  this->connections_most = std::max<std::uint64_t>(this->connections_most, this->connections.size());
  return true;
}

void EndpointServer::RunStatement(const HttpConnectionPtr& connection, const StatementRequest& request) {
  if (request.autocommit) {
    const Completion completion = this->instance.RunAutocommit(request);
    ++this->statements_run;
    this->AnswerCompletion(connection, request.request_id, completion);
    return;
  }
  const auto found = this->connections.find(connection->id);
  if (found == this->connections.end()) {
    // The connection has closed, and its transaction with it.
    return;
  }
  const Completion completion = this->instance.RunInTransaction(request, found->second.transaction);
  ++this->statements_run;
  this->AnswerCompletion(connection, request.request_id, completion);
}

void EndpointServer::AnswerCompletion(const HttpConnectionPtr& connection, const std::string& request_id,
                                      const Completion& completion) {
  std::string body = R"({"request_id":)" + request_id;
  body += R"(,"outcome":"done","result":)";
  body += completion.result;
  body += R"(,"term":)" + std::to_string(this->instance.Term());
  body += R"(,"position":)" + FormatPlace(completion.position);
  body += completion.replayed ? R"(,"replayed":true})" : R"(,"replayed":false})";
  connection->Answer(kOk, std::move(body));
  if (this->instance.OwnLog().Last().offset != this->notified_offset) {
    this->NotifyPolls();
  }
}

void EndpointServer::NotifyPolls() {
  this->notified_offset = this->instance.OwnLog().Last().offset;
  this->position_polls.Notify();
  this->log_polls.Notify();
}

void EndpointServer::HandleStatement(const HttpConnectionPtr& connection, const HttpRequest& request) {
  StatementRequest statement = ParseStatementRequest(request.body());
  const std::string request_id = statement.request_id;
  connection->Guard(
      [&] {
        // Refused at once rather than after its turn; the check is repeated when it runs.
        this->instance.CheckTerm(statement.term);
        this->slots.Submit([this, connection, statement = std::move(statement)] {
          connection->Guard([&] { this->RunStatement(connection, statement); }, statement.request_id);
        });
      },
      request_id);
}

void EndpointServer::HandleCommit(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const EndRequest end = ParseEndRequest(request.body());
  connection->Guard(
      [&] {
        std::optional<Transaction>& transaction = this->connections.at(connection->id).transaction;
        this->AnswerCompletion(connection, end.request_id, this->instance.Commit(end, transaction));
      },
      end.request_id);
}

void EndpointServer::HandleRollback(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const EndRequest end = ParseEndRequest(request.body());
  // It ends the transaction whatever the term is: nothing of it may survive on the connection.
  this->connections.at(connection->id).transaction.reset();
  connection->Guard(
      [&] {
        this->instance.CheckTerm(end.term);
        this->AnswerCompletion(connection, end.request_id, {"null", this->instance.OwnLog().Last(), false});
      },
      end.request_id);
}

void EndpointServer::HandleOutcome(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = TargetOf(request);
  const std::optional<std::string> key = target.Text("key");
  const std::optional<std::uint64_t> term = target.Number("term");
  if (!key || !term) {
    throw BadRequestError("the query needs key and term");
  }
  const KeyOutcome outcome = this->instance.Outcome(*key, *term);
  if (!outcome.known) {
    connection->Answer(kOk, R"({"known":false})");
    return;
  }
  connection->Answer(
      kOk, R"({"known":true,"result":)" + outcome.result + R"(,"position":)" + FormatPlace(outcome.position) + "}");
}

void EndpointServer::HandlePosition(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = TargetOf(request);
  const std::optional<std::uint64_t> after = target.Number("after");
  this->position_polls.Add(connection, target.Milliseconds("wait_ms"), [this, connection, after](bool expired) {
    if (after && this->instance.OwnLog().Last().offset <= *after && !expired) {
      return false;
    }
    connection->Answer(kOk, this->instance.FormatPosition());
    return true;
  });
}

void EndpointServer::HandleConfigure(const HttpConnectionPtr& connection, const HttpRequest& request) {
  if (this->instance.Configure(ParseConfigureRequest(request.body()))) {
    this->puller.Restart();
    this->NotifyPolls();
  }
  connection->Answer(kOk, this->instance.FormatPosition());
}

void EndpointServer::HandleLog(const HttpConnectionPtr& connection, const HttpRequest& request) {
  const HttpTarget target = TargetOf(request);
  const LogPull pull = {{target.Number("after_term").value_or(0), target.Number("after").value_or(0)},
                        target.Number("term").value_or(0)};
  this->log_polls.Add(connection, target.Milliseconds("wait_ms"),
                      [this, connection, pull](bool expired) { return this->TryAnswerLog(connection, pull, expired); });
}

bool EndpointServer::TryAnswerLog(const HttpConnectionPtr& connection, const LogPull& pull, bool expired) {
  bool answered = true;
  connection->Guard([&] {
    this->instance.CheckTerm(pull.term);
    this->instance.CheckPrimary();
    const Log& log = this->instance.OwnLog();
    if (!log.Contains(pull.after)) {
      throw LogMismatchError(pull.after.offset, log.Last().offset);
    }
    if (log.Last().offset == pull.after.offset && !expired) {
      answered = false;
      return;
    }
    connection->Answer(kOk, R"({"term":)" + std::to_string(this->instance.Term()) + R"(,"entries":[)" +
                                log.FormatAfter(pull.after.offset, kLogBatch) + "]}");
  });
  return answered;
}

}  // namespace amaranthlane::stand_ins
