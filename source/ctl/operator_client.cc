#include "ctl/operator_client.h"

#include <boost/asio/io_context.hpp>
#include <memory>

#include "common/json.h"
#include "net/http_connection.h"

namespace amaranthlane::ctl {

NoAnswerError::NoAnswerError(const net::Address& vm) : Error("no answer from " + net::ToString(vm)) {}

OperatorClient::OperatorClient(const net::Address& vm, std::chrono::milliseconds limit) : vm(vm), limit(limit) {}

OperatorAnswer OperatorClient::Call(const std::string& method, const std::string& target,
                                    const nlohmann::json& body) const {
  boost::asio::io_context loop(1);
  const auto connection = std::make_shared<net::HttpConnection>(loop, this->vm);
  net::CallResult answer;
  connection->Call(net::HttpRequest{method, target, {}, body.is_null() ? "" : body.dump()},
                   BootClock::now() + this->limit, [&answer, &connection](net::CallResult result) {
                     answer = std::move(result);
                     connection->Close();
                   });
  loop.run();
  if (answer.status != net::CallStatus::kAnswered) {
    throw NoAnswerError(this->vm);
  }
  return OperatorAnswer{answer.response.status, json::Parse(answer.response.body, "operators' answer")};
}

}  // namespace amaranthlane::ctl
