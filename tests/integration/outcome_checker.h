#ifndef AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_
#define AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// Compares the outcomes reported to callers with the contents of the database. Each request adds 1 to its own counter,
// which reveals acknowledged writes that were lost, writes applied twice and writes reported as `not_run` that ran.
// Thread-safe.
class OutcomeChecker {
 public:
  // The counters' names start with `prefix`.
  OutcomeChecker(FleetFixture& fleet, std::string prefix);

  // Sends one request through the VM and records the response.
  CallerResponse Add(std::size_t vm, std::chrono::milliseconds time_limit);
  // Sends `count` concurrent requests, round-robin over `vms`, and waits for all responses.
  void AddAtOnce(std::size_t count, const std::vector<std::size_t>& vms, std::chrono::milliseconds time_limit);

  // The number of requests for which `outcome` was reported.
  std::size_t CountOutcome(const std::string& outcome) const;
  // Lists the requests whose outcome contradicts the database: `done` but not applied exactly once, `not_run` but
  // applied, or applied more than once. Empty when all outcomes are consistent. Throws ProcessError when no VM reads
  // the counters in time.
  std::string Contradictions();

 private:
  struct Record {
    std::string counter;
    CallerResponse response;
  };

  FleetFixture& fleet;
  std::string prefix;
  mutable std::mutex mutex;
  std::size_t next_counter = 0;
  std::vector<Record> records;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_
