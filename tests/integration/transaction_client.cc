#include "integration/transaction_client.h"

#include <vector>

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kCallTimeout(8);

}  // namespace

TransactionClient::TransactionClient(FleetFixture& fleet, std::size_t vm) : fleet(fleet) {
  const bool opened = FleetFixture::Await([this, vm] {
    const CallerResponse response =
        this->fleet.Call(vm, "POST", "/v1/groups/group-1/transactions", Json{{"kind", "order"}}, {}, kCallTimeout);
    this->transaction_id = response.outcome == "done" ? response.body.at("transaction").get<std::string>() : "";
    return response.outcome == "done";
  });
  if (!opened) {
    throw ProcessError("fleet", "no transaction could be opened");
  }
}

CallerResponse TransactionClient::Add(std::size_t vm, const std::string& counter,
                                      std::chrono::milliseconds time_limit) {
  const Json body{{"mode", "write"},
                  {"statement", Json{{"op", "add"}, {"key", counter}, {"amount", 1}}},
                  {"time_limit_ms", time_limit.count()}};
  return this->fleet.Call(vm, "POST", "/v1/transactions/" + this->transaction_id + "/statements", body, {},
                          kCallTimeout);
}

CallerResponse TransactionClient::Commit(std::size_t vm, const std::string& key) {
  return this->End(vm, "commit", key);
}

CallerResponse TransactionClient::Rollback(std::size_t vm) { return this->End(vm, "rollback", ""); }

CallerResponse TransactionClient::End(std::size_t vm, const std::string& call, const std::string& key) {
  std::vector<HttpHeader> headers;
  if (!key.empty()) {
    headers.push_back({"Idempotency-Key", key});
  }
  return this->fleet.Call(vm, "POST", "/v1/transactions/" + this->transaction_id + "/" + call, Json::object(), headers,
                          kCallTimeout);
}

}  // namespace amaranthlane::testing
