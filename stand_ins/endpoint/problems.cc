#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

namespace {

std::string DescribeTerms(std::uint64_t requested_term, std::uint64_t own_term) {
  return "requested term " + std::to_string(requested_term) + ", own term " + std::to_string(own_term);
}

}  // namespace

StaleTermError::StaleTermError(std::uint64_t requested_term, std::uint64_t own_term)
    : ProblemError({409,
                    "stale-term",
                    "The term is over",
                    DescribeTerms(requested_term, own_term),
                    "not_run",
                    {{"term", own_term}}}) {}

UnconfiguredTermError::UnconfiguredTermError(std::uint64_t requested_term, std::uint64_t own_term)
    : ProblemError({409,
                    "unconfigured-term",
                    "The instance isn't configured for the term",
                    DescribeTerms(requested_term, own_term),
                    "not_run",
                    {{"term", own_term}}}) {}

TermConflictError::TermConflictError(std::uint64_t term, const std::string& primary)
    : ProblemError({409, "term-conflict", "The term has another primary",
                    "term " + std::to_string(term) + " belongs to " + primary, "not_run"}) {}

NotPrimaryError::NotPrimaryError(const std::string& endpoint)
    : ProblemError({409, "not-primary", "The instance is a replica", endpoint, "not_run"}) {}

KeyConflictError::KeyConflictError(const std::string& key)
    : ProblemError({409, "key-conflict", "The idempotency key belongs to another statement", key, "not_run"}) {}

NoTransactionError::NoTransactionError()
    : ProblemError({409, "no-transaction", "The connection has no open transaction", "", "not_run"}) {}

NotANumberError::NotANumberError(const std::string& key)
    : ProblemError({409, "not-a-number", "The counter isn't a whole number of 64 bits", key, "not_run"}) {}

TooManyConnectionsError::TooManyConnectionsError(std::uint64_t limit)
    : ProblemError({503, "too-many-connections", "The connection limit is reached",
                    "the limit is " + std::to_string(limit), "not_run"}) {}

LogMismatchError::LogMismatchError(std::uint64_t offset, std::uint64_t last_offset)
    : ProblemError({409,
                    "log-mismatch",
                    "The logs differ at the position",
                    "offset " + std::to_string(offset),
                    "",
                    {{"last_offset", last_offset}}}) {}

}  // namespace amaranthlane::stand_ins
