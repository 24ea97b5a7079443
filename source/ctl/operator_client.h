#ifndef AMARANTHLANE_CTL_OPERATOR_CLIENT_H_
#define AMARANTHLANE_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"
#include "net/address.h"

namespace amaranthlane::ctl {

// No HTTP response was received: the connection failed, or the timeout passed.
class NoResponseError : public Error {
 public:
  explicit NoResponseError(const net::Address& vm);
};

struct OperatorResponse {
  unsigned status = 0;
  nlohmann::json body;
};

// A blocking client of the operators' HTTP interface of one VM.
class OperatorClient {
 public:
  OperatorClient(const net::Address& vm, std::chrono::milliseconds timeout);

  // Sends no body if `body` is null. Throws NoResponseError, or ParseError when the response's body isn't JSON.
  OperatorResponse Call(const std::string& method, const std::string& target, const nlohmann::json& body) const;

 private:
  net::Address vm;
  std::chrono::milliseconds timeout;
};

}  // namespace amaranthlane::ctl

#endif  // AMARANTHLANE_CTL_OPERATOR_CLIENT_H_
