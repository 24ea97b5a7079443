#include "ctl/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>

#include "common/json.h"
#include "net/http_connection.h"

namespace amaranthlane::ctl {

NoResponseError::NoResponseError(const net::Address& vm)
    : Error("no HTTP response (connection failed or timed out) from " + net::ToString(vm)) {}

OperatorClient::OperatorClient(const net::Address& vm, std::chrono::milliseconds timeout) : vm(vm), timeout(timeout) {}

OperatorResponse OperatorClient::Call(const std::string& method, const std::string& target,
                                      const nlohmann::json& body) const {
  boost::asio::io_context loop(1);
  const auto connection = std::make_shared<net::HttpConnection>(loop, this->vm);
  net::CallResult call_result;
  connection->Call(net::HttpRequest{method, target, {}, body.is_null() ? "" : body.dump()},
                   BootClock::now() + this->timeout, [&call_result, &connection](net::CallResult result) {
                     call_result = std::move(result);
                     connection->Close();
                   });
  loop.run();
  if (call_result.status != net::CallStatus::kAnswered) {
    throw NoResponseError(this->vm);
  }
  return OperatorResponse{call_result.response.status,
                          json::Parse(call_result.response.body, "response of the operators' interface")};
}

}  // namespace amaranthlane::ctl
