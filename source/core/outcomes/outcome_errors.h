#ifndef AMARANTHLANE_CORE_OUTCOMES_OUTCOME_ERRORS_H_
#define AMARANTHLANE_CORE_OUTCOMES_OUTCOME_ERRORS_H_

#include "common/error.h"
#include "core/outcomes/request.h"

namespace amaranthlane::outcomes {

// A non-idempotent write came without an idempotency key. HTTP status 400.
class MissingIdempotencyKeyError : public Error {
 public:
  MissingIdempotencyKeyError();
};

// The idempotency key is longer than kMaxKeyLength or contains a character that isn't visible ASCII. HTTP status 400.
class InvalidIdempotencyKeyError : public Error {
 public:
  InvalidIdempotencyKeyError();
};

// A request was opened with the id of another open request.
class DuplicateRequestError : public Error {
 public:
  explicit DuplicateRequestError(RequestId request);
  RequestId request;
};

// A request was dispatched on a connection on which another one is running.
class ConnectionInUseError : public Error {
 public:
  explicit ConnectionInUseError(ConnectionId connection);
  ConnectionId connection;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_CORE_OUTCOMES_OUTCOME_ERRORS_H_
