#ifndef AMARANTHLANE_TESTS_INTEGRATION_TRANSACTION_CLIENT_H_
#define AMARANTHLANE_TESTS_INTEGRATION_TRANSACTION_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// One transaction of the kind `order`. Each call may go to a different VM.
class TransactionClient {
 public:
  // Opens a transaction through the VM, with retries. Throws ProcessError when none could be opened in time.
  TransactionClient(FleetFixture& fleet, std::size_t vm);

  // Adds 1 to a counter.
  CallerResponse Add(std::size_t vm, const std::string& counter,
                     std::chrono::milliseconds time_limit = std::chrono::seconds(3));
  // `key` is the commit's idempotency key and may be empty.
  CallerResponse Commit(std::size_t vm, const std::string& key = "");
  CallerResponse Rollback(std::size_t vm);

 private:
  CallerResponse End(std::size_t vm, const std::string& call, const std::string& key);

  FleetFixture& fleet;
  std::string transaction_id;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_TRANSACTION_CLIENT_H_
