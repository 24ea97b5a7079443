#ifndef AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_
#define AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// Compares what callers were told with what is in the database. Each request adds 1 to a counter of its own, so that a
// lost, doubled or wrongly refused run shows. Its calls may come from several threads.
class OutcomeChecker {
 public:
  // The counters' names start with `prefix`.
  OutcomeChecker(FleetFixture& fleet, std::string prefix);

  // Sends a request of its own by the VM and notes what was told.
  CallerResponse Add(std::size_t vm, std::chrono::milliseconds time_limit);
  // Sends `count` requests, all at once, to the VMs in turn, and waits for their answers.
  void AddAtOnce(std::size_t count, const std::vector<std::size_t>& vms, std::chrono::milliseconds time_limit);

  // How many requests were told the outcome.
  std::size_t CountOutcome(const std::string& outcome) const;
  // What contradicts the database: `done` that isn't there exactly once, `not_run` that is there, anything twice. Empty
  // when all is true.
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
