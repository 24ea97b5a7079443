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
class OutcomeLedger {
 public:
  // The counters' names start with `prefix`.
  OutcomeLedger(FleetFixture& fleet, std::string prefix);

  // Sends a request of its own by the VM and notes what was told.
  CallerAnswer Add(std::size_t vm, std::chrono::milliseconds limit);
  // Sends `count` requests, all at once, to the VMs in turn, and waits for their answers.
  void AddAtOnce(std::size_t count, const std::vector<std::size_t>& vms, std::chrono::milliseconds limit);

  // How many requests were told the outcome.
  std::size_t Told(const std::string& outcome) const;
  // What contradicts the database: `done` that isn't there exactly once, `not_run` that is there, anything twice. Empty
  // when all is true.
  std::string Contradictions();

 private:
  struct Row {
    std::string counter;
    CallerAnswer answer;
  };

  FleetFixture& fleet;
  std::string prefix;
  mutable std::mutex mutex;
  std::size_t next = 0;
  std::vector<Row> rows;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_OUTCOME_LEDGER_H_
