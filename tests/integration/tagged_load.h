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

// What the callers of a load observed.
struct LoadReport {
  std::uint64_t done = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  // Requests for which the connection was accepted but no complete response with an outcome arrived, with the cause.
  std::vector<std::string> unanswered;
  // Responses with a wrong value, such as that of another request, or without a value that must be there.
  std::vector<std::string> misdelivered;
  // Responses with an outcome other than `done`.
  std::vector<std::string> not_done_responses;
};

struct LoadOptions {
  // The VMs that the callers call.
  std::vector<std::size_t> vms;
  std::size_t callers_per_vm = 4;
  // The kind of the reads.
  std::string read_kind = "exact";
  std::chrono::milliseconds time_limit{1000};
  std::chrono::milliseconds request_interval{2};
};

// Callers that each run on their own thread with one keep-alive connection. Each repeatedly writes a unique value under
// a unique key and reads it back, which reveals responses delivered to the wrong request.
class TaggedLoad {
 public:
  TaggedLoad(const FleetFixture& fleet, const LoadOptions& options);
  ~TaggedLoad();
  TaggedLoad(const TaggedLoad&) = delete;
  TaggedLoad& operator=(const TaggedLoad&) = delete;

  // The number of responses with outcome `done` so far.
  std::uint64_t Done() const;
  // Waits for `count` more responses with outcome `done`; returns false on timeout.
  bool AwaitDone(std::uint64_t count, std::chrono::milliseconds timeout) const;
  // Waits until each caller has finished its current round, and returns the combined report.
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
