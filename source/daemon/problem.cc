#include "daemon/problem.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kProblemType[] = "application/problem+json";
constexpr char kUrnPrefix[] = "urn:amaranthlane:";
constexpr unsigned kStatusGatewayTimeout = 504;

struct ProblemRow {
  WorkProblem problem;
  unsigned status;
  const char* detail;
};

constexpr std::array<ProblemRow, 23> kProblemRows = {{
    {WorkProblem::kNone, 500, "the work ended without an answer"},
    {WorkProblem::kNotLeader, 503, "the group's leader is changing"},
    {WorkProblem::kOverload, 503, "the group can't serve this in time"},
    {WorkProblem::kDeadlinePassed, 504, "the time limit passed"},
    {WorkProblem::kConnectionLost, 504, "the connection to the endpoint was lost"},
    {WorkProblem::kTermMoved, 503, "the group's primary is changing"},
    {WorkProblem::kLeadershipLost, 503, "the group's leader changed"},
    {WorkProblem::kShutdown, 503, "this VM is shutting down"},
    {WorkProblem::kRefusedByEndpoint, 503, "the endpoint refused the work"},
    {WorkProblem::kKeyConflict, 422, "the idempotency key was used with another statement"},
    {WorkProblem::kInvalidStatement, 400, "the endpoint finds the statement at fault"},
    {WorkProblem::kMissingKey, 400, "this kind of work must never run twice and needs an Idempotency-Key"},
    {WorkProblem::kPositionLost, 409, "a failover lost what this session has written"},
    {WorkProblem::kTransactionNotFound, 404, "no such transaction is open"},
    {WorkProblem::kTransactionBusy, 409, "another call of the transaction runs"},
    {WorkProblem::kTransactionEnded, 409, "the transaction has ended"},
    {WorkProblem::kTooManyTransactions, 503, "too many transactions are open"},
    {WorkProblem::kNoLeader, 503, "the group has no leader at present"},
    {WorkProblem::kUnknownGroup, 404, "there is no such database group"},
    {WorkProblem::kUnknownCaller, 401, "the bearer key belongs to no caller"},
    {WorkProblem::kInvalidRequest, 400, "the request is malformed"},
    {WorkProblem::kInvalidToken, 400, "the session token is damaged"},
    {WorkProblem::kStarting, 503, "this VM has just started and has no configuration yet"},
}};

const ProblemRow& RowOf(WorkProblem problem) {
  const auto* const found = std::find_if(kProblemRows.begin(), kProblemRows.end(),
                                         [problem](const ProblemRow& row) { return row.problem == problem; });
  return found == kProblemRows.end() ? kProblemRows.front() : *found;
}

}  // namespace

net::HttpResponse JsonResponse(std::string body) {
  return net::HttpResponse{200, {}, "application/json", std::move(body)};
}

net::HttpResponse ProblemResponse(unsigned status, std::string_view type, const std::string& detail) {
  const Json body{{"type", kUrnPrefix + std::string(type)}, {"title", type}, {"status", status}, {"detail", detail}};
  return net::HttpResponse{status, {}, kProblemType, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

net::HttpResponse WorkProblemResponse(const WorkReply& answer, const std::string& idempotency_key) {
  const ProblemRow& row = RowOf(answer.problem);
  const bool unknown = answer.outcome == Outcome::kUnknown;
  const unsigned status = unknown ? kStatusGatewayTimeout : row.status;
  const std::string_view name = WorkProblemName(answer.problem);
  Json body{{"type", kUrnPrefix + std::string(name)},
            {"title", name},
            {"status", status},
            {"detail", row.detail},
            {"outcome", OutcomeName(answer.outcome)}};
  if (unknown && !idempotency_key.empty()) {
    body["idempotency_key"] = idempotency_key;
  }
  net::HttpResponse response{status, {}, kProblemType, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
  if (answer.problem == WorkProblem::kOverload) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.retry_after);
    response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(seconds.count(), 1))});
  }
  return response;
}

}  // namespace amaranthlane::daemon
