#ifndef AMARANTHLANE_TESTS_INTEGRATION_TAGGED_LOAD_H_
#define AMARANTHLANE_TESTS_INTEGRATION_TAGGED_LOAD_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "integration/fleet_fixture.h"
#include "integration/json_client.h"

namespace amaranthlane::testing {

// What the callers of a load saw.
struct LoadReport {
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // Requests that a connection took and that got no whole answer, each with its cause.
  std::vector<std::string> unanswered;
  // Answers that belong to another request.
  std::vector<std::string> misdelivered;
  // Answers other than `done`.
  std::vector<std::string> not_done_responses;
};

struct LoadOptions {
  // The VMs that callers are spread over.
  std::vector<std::size_t> vms;
  std::size_t callers_per_vm = 4;
  // The kind of work of the reads.
  std::string read_kind = "exact";
  std::chrono::milliseconds time_limit{1000};
  std::chrono::milliseconds request_interval{2};
};

// Callers on threads of their own, each with one keep-alive connection. A caller writes a value that nobody else writes
// under a key that nobody else uses and reads it back, time after time, so that an answer to another request shows.
class TaggedLoad {
 public:
  TaggedLoad(const FleetFixture& fleet, const LoadOptions& options);
  ~TaggedLoad();
  TaggedLoad(const TaggedLoad&) = delete;
  TaggedLoad& operator=(const TaggedLoad&) = delete;

  // The number of answers `done` so far.
  std::uint64_t Done() const;
  // Waits until `count` more answers are `done`; false when they took longer than the limit.
  bool AwaitDone(std::uint64_t count, std::chrono::milliseconds timeout) const;
  // Lets each caller finish its request and returns what all saw.
  LoadReport Stop();

 private:
  struct Exchange {
    bool responded = false;
    bool done = false;
    nlohmann::json body;
    std::string session_token;
  };

  void RunCaller(std::size_t vm, std::size_t caller);
  Exchange Execute(JsonClient& client, const std::string& request_name, const nlohmann::json& body,
                   const std::vector<HttpHeader>& headers);
  void CheckRead(const std::string& request_name, const nlohmann::json& body, const std::string& value, bool written);
  void CheckWrite(const std::string& request_name, const nlohmann::json& body, const std::string& value);

  const FleetFixture& fleet;
  LoadOptions options;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> done = 0;
  std::mutex mutex;
  LoadReport report;
  std::vector<std::thread> threads;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_TAGGED_LOAD_H_
