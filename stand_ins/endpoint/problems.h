#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_PROBLEMS_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_PROBLEMS_H_

#include <cstdint>
#include <string>

#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

// The request's term is lower than the instance's.
class StaleTermError : public ProblemError {
 public:
  StaleTermError(std::uint64_t requested_term, std::uint64_t own_term);
};

// The request's term is higher than the instance's.
class UnconfiguredTermError : public ProblemError {
 public:
  UnconfiguredTermError(std::uint64_t requested_term, std::uint64_t own_term);
};

// The term is already configured with another primary.
class TermConflictError : public ProblemError {
 public:
  TermConflictError(std::uint64_t term, const std::string& primary);
};

// A replica received a request that only the primary serves.
class NotPrimaryError : public ProblemError {
 public:
  explicit NotPrimaryError(const std::string& endpoint);
};

// The idempotency key is stored with another statement.
class KeyConflictError : public ProblemError {
 public:
  explicit KeyConflictError(const std::string& key);
};

// A commit on a connection that has no open transaction.
class NoTransactionError : public ProblemError {
 public:
  NoTransactionError();
};

// `add` on a value that isn't a whole number, or whose sum exceeds 64 bits.
class NotANumberError : public ProblemError {
 public:
  explicit NotANumberError(const std::string& key);
};

// The instance has reached its connection limit.
class TooManyConnectionsError : public ProblemError {
 public:
  explicit TooManyConnectionsError(std::uint64_t limit);
};

// The primary's log has a different entry, or none, at the replica's position.
class LogMismatchError : public ProblemError {
 public:
  // `last_offset` is the offset of the primary's newest entry.
  LogMismatchError(std::uint64_t offset, std::uint64_t last_offset);
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_PROBLEMS_H_
