#include "daemon/problem.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr char kProblemContentType[] = "application/problem+json";
constexpr char kUrnPrefix[] = "urn:amaranthlane:";
constexpr unsigned kStatusGatewayTimeout = 504;

struct ProblemRow {
  WorkProblem problem;
  unsigned status;
  const char* detail;
};

constexpr std::array<ProblemRow, 23> kProblemRows = {{
    {WorkProblem::kNone, 500, "the request ended without a reply"},
    {WorkProblem::kNotLeader, 503, "the group's leader is changing"},
    {WorkProblem::kOverload, 503, "the group is overloaded and can't serve the request in time"},
    {WorkProblem::kDeadlinePassed, 504, "the time limit of the request has passed"},
    {WorkProblem::kConnectionLost, 504, "the connection to the endpoint was lost"},
    {WorkProblem::kTermMoved, 503, "the group's primary is changing"},
    {WorkProblem::kLeadershipLost, 503, "the group's leader changed"},
    {WorkProblem::kShutdown, 503, "this VM is shutting down"},
    {WorkProblem::kRefusedByEndpoint, 503, "the endpoint refused the request"},
    {WorkProblem::kKeyConflict, 422, "the idempotency key was used with another statement"},
    {WorkProblem::kInvalidStatement, 400, "the endpoint rejected the statement as invalid"},
    {WorkProblem::kMissingKey, 400, "a request of this kind must never run twice and requires an Idempotency-Key"},
    {WorkProblem::kPositionLost, 409, "a failover lost writes of this session"},
    {WorkProblem::kTransactionNotFound, 404, "no such transaction is open"},
    {WorkProblem::kTransactionBusy, 409, "another call of the transaction is running"},
    {WorkProblem::kTransactionEnded, 409, "the transaction has ended"},
    {WorkProblem::kTooManyTransactions, 503, "too many transactions are open"},
    {WorkProblem::kNoLeader, 503, "the group currently has no leader"},
    {WorkProblem::kUnknownGroup, 404, "no such database group exists"},
    {WorkProblem::kUnknownCaller, 401, "the bearer key belongs to no caller"},
    {WorkProblem::kInvalidRequest, 400, "the request is malformed"},
    {WorkProblem::kInvalidToken, 400, "the session token is invalid"},
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
  return net::HttpResponse{status, {}, kProblemContentType, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

net::HttpResponse WorkProblemResponse(const WorkReply& reply, const std::string& idempotency_key) {
  const ProblemRow& row = RowOf(reply.problem);
  const bool outcome_unknown = reply.outcome == Outcome::kUnknown;
  const unsigned status = outcome_unknown ? kStatusGatewayTimeout : row.status;
  const std::string_view name = WorkProblemName(reply.problem);
  Json body{{"type", kUrnPrefix + std::string(name)},
            {"title", name},
            {"status", status},
            {"detail", row.detail},
            {"outcome", OutcomeName(reply.outcome)}};
  if (outcome_unknown && !idempotency_key.empty()) {
    body["idempotency_key"] = idempotency_key;
  }
  net::HttpResponse response{
      status, {}, kProblemContentType, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
  if (reply.problem == WorkProblem::kOverload) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(reply.retry_after);
    response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(seconds.count(), 1))});
  }
  return response;
}

}  // namespace amaranthlane::daemon
