#ifndef AMARANTHLANE_CLIENT_CALLER_H_
#define AMARANTHLANE_CLIENT_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "client/statement.h"
#include "core/sessions/session_token.h"
#include "net/http_pool.h"

namespace amaranthlane::client {

struct CallerSettings {
  // The VMs' addresses for callers.
  std::vector<net::Address> vms;
  std::string bearer_key;
  std::size_t connections_per_vm = 64;
  // Time limit of one attempt, after which the statement is retried at another VM.
  std::chrono::milliseconds attempt_timeout{2000};
  // Whether statements that were rejected with `overload` are retried until their deadline.
  bool retry_overload = false;
  // Seeds the random generator for idempotency keys, the choice of the first VM and backoff delays.
  std::uint64_t seed = 1;
};

// A caller's session. Its token holds the log positions of its writes, so that its reads see them at any VM.
class Session {
 public:
  // Merges the session token of a response. An invalid token is ignored; the session keeps the positions it had.
  void Merge(const std::string& token);
  // The encoded token to send with a request; empty until a token has been merged.
  const std::string& Token() const;

 private:
  sessions::SessionToken token;
  std::string encoded;
};

// Runs statements through the VMs of a fleet. A failed attempt is retried at another VM until the statement's deadline,
// unless its problem is one that a retry can't resolve. All attempts of a write carry the same idempotency key, so that
// it can't run twice. Not thread-safe: all methods must be called on the event loop's thread.
class Caller {
 public:
  using Callback = std::function<void(const StatementResult&)>;

  Caller(boost::asio::io_context& loop, const CallerSettings& settings);

  // `session` must live until the callback has run.
  void Execute(Session& session, Statement statement, Callback callback);
  // Same as Execute, but starts at VM number `vm_index` of `CallerSettings::vms`, modulo their count.
  void ExecuteAt(std::size_t vm_index, Session& session, Statement statement, Callback callback);

 private:
  struct PendingStatement;
  using PendingPointer = std::shared_ptr<PendingStatement>;

  void StartAttempt(const PendingPointer& pending);
  void HandleHttpResult(const PendingPointer& pending, const net::CallResult& result);
  void HandleAttemptResult(const PendingPointer& pending, const AttemptResult& attempt);
  bool CanRetry(const PendingStatement& pending, const AttemptResult& attempt) const;
  void ScheduleRetry(const PendingPointer& pending);
  void Complete(const PendingPointer& pending, Outcome outcome);
  std::string GenerateIdempotencyKey();

  boost::asio::io_context& loop;
  CallerSettings settings;
  std::vector<std::unique_ptr<net::HttpPool>> pools;
  std::mt19937_64 generator;
};

}  // namespace amaranthlane::client

#endif  // AMARANTHLANE_CLIENT_CALLER_H_
