#ifndef AMARANTHLANE_CTL_OPERATOR_CLIENT_H_
#define AMARANTHLANE_CTL_OPERATOR_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "common/error.h"
#include "net/address.h"

namespace amaranthlane::ctl {

// The VM gave no answer that could be read.
class NoResponseError : public Error {
 public:
  explicit NoResponseError(const net::Address& vm);
};

struct OperatorResponse {
  unsigned status = 0;
  nlohmann::json body;
};

// Calls the operators' interface of one VM and waits for each answer.
class OperatorClient {
 public:
  OperatorClient(const net::Address& vm, std::chrono::milliseconds timeout);

  // `body` may be null: no body is sent. Throws NoResponseError.
  OperatorResponse Call(const std::string& method, const std::string& target, const nlohmann::json& body) const;

 private:
  net::Address vm;
  std::chrono::milliseconds timeout;
};

}  // namespace amaranthlane::ctl

#endif  // AMARANTHLANE_CTL_OPERATOR_CLIENT_H_
