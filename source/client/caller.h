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
  // The callers' addresses of the VMs.
  std::vector<net::Address> vms;
  std::string bearer_key;
  std::size_t connections_per_vm = 64;
  // How long one attempt may take before another VM is tried.
  std::chrono::milliseconds attempt_timeout{2000};
  // Whether refusals from overload are tried again within the deadline.
  bool retry_overload = false;
  // Starts the generator of keys, of the choice of VMs and of backoff.
  std::uint64_t seed = 1;
};

// A caller's session: what it has written, so that its reads see it at any VM.
class Session {
 public:
  // Takes the token of an answer in. A damaged one is ignored: the session then knows no less than before.
  void Merge(const std::string& token);
  // The text to send; empty at first.
  const std::string& Token() const;

 private:
  sessions::SessionToken token;
  std::string encoded;
};

// Runs statements through the VMs of a fleet. An attempt that fails is repeated at another VM with the same idempotency
// key until the deadline, as far as that can't run the statement twice. All calls are made on the event loop's thread.
class Caller {
 public:
  using Callback = std::function<void(const StatementResult&)>;

  Caller(boost::asio::io_context& loop, const CallerSettings& settings);

  // `session` must live until the callback has run.
  void Execute(Session& session, Statement statement, Callback callback);
  // The same, with the first attempt at the VM with this index.
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
